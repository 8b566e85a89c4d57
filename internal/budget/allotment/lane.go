package allotment

import (
	"context"
	"fmt"
)

// lane lets one table operation run at a time; a wait for it ends with its context.
type lane chan struct{}

func newLane() lane { return make(lane, 1) }

func (l lane) lock(ctx context.Context) error {
	select {
	case l <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for earlier table operation: %w", ctx.Err())
	}
}

// tryLock locks the lane if it is free.
func (l lane) tryLock() bool {
	select {
	case l <- struct{}{}:
		return true
	default:
		return false
	}
}

func (l lane) unlock() { <-l }
