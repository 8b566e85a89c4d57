package edge

import (
	"context"
	"time"

	"rosevalve/internal/platform/table"
	"rosevalve/internal/platform/timeout"
)

// storeTimeouts are the adaptive timeouts of store calls, derived from recent call durations.
type storeTimeouts struct {
	read   timeout.Estimator
	commit timeout.Estimator
}

// read reads a range of rows from the store, with an adaptive timeout.
func (e *Edge) read(ctx context.Context, r table.Range) (table.Page, error) {
	var page table.Page
	err := e.timedCall(ctx, "store_read", &e.storeTimeouts.read, func(ctx context.Context, timeout time.Duration) (err error) {
		page, err = e.store.Read(ctx, r, timeout)
		return err
	})
	return page, err
}

// commit applies a commit to the store, with an adaptive timeout.
func (e *Edge) commit(ctx context.Context, c table.Commit) (table.Stamp, error) {
	var stamp table.Stamp
	err := e.timedCall(ctx, "store_commit", &e.storeTimeouts.commit, func(ctx context.Context, timeout time.Duration) (err error) {
		stamp, err = e.store.Commit(ctx, c, timeout)
		return err
	})
	return stamp, err
}

// timedCall runs call with the current timeout, within which the answer must begin, adapts the timeout to the time
// that it took to begin, and records the call in the metrics.
func (e *Edge) timedCall(ctx context.Context, name string, estimator *timeout.Estimator, call func(ctx context.Context, timeout time.Duration) error) error {
	limit := estimator.Timeout()
	transfer := table.NewTransfer()
	err := call(table.WithTransfer(ctx, transfer), limit)
	if transfer.Answered() {
		estimator.ObserveLatency(transfer.Wait())
	} else if transfer.Elapsed() >= limit {
		estimator.ObserveTimeout(limit)
	}
	e.metrics.recordCall(name, transfer.Elapsed(), err)
	return err
}
