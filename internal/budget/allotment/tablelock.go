package allotment

import (
	"context"
	"fmt"
)

// tableLock is a mutex for table operations whose wait ends with a context.
type tableLock chan struct{}

func newTableLock() tableLock { return make(tableLock, 1) }

func (l tableLock) lock(ctx context.Context) error {
	select {
	case l <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for earlier table operation: %w", ctx.Err())
	}
}

// tryLock acquires the lock if it is free, and reports whether it did.
func (l tableLock) tryLock() bool {
	select {
	case l <- struct{}{}:
		return true
	default:
		return false
	}
}

func (l tableLock) unlock() { <-l }
