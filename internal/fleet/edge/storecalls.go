package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

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
	err := e.timedCall(ctx, "store_read", &e.storeTimeouts.read, func(ctx context.Context) (err error) {
		page, err = e.store.Read(ctx, r)
		return err
	})
	return page, err
}

// commit applies a commit to the store, with an adaptive timeout.
func (e *Edge) commit(ctx context.Context, c table.Commit) (table.Stamp, error) {
	var stamp table.Stamp
	err := e.timedCall(ctx, "store_commit", &e.storeTimeouts.commit, func(ctx context.Context) (err error) {
		stamp, err = e.store.Commit(ctx, c)
		return err
	})
	return stamp, err
}

// timedCall runs call with the current timeout, adapts the timeout to its duration, and records
// the call in the metrics.
func (e *Edge) timedCall(ctx context.Context, name string, estimator *timeout.Estimator, call func(ctx context.Context) error) error {
	limit := estimator.Timeout()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	began := time.Now()
	err := call(ctx)
	took := time.Since(began)
	if took >= limit {
		estimator.ObserveTimeout(limit)
	} else if !unanswered(err) {
		estimator.ObserveLatency(took)
	}
	e.metrics.recordCall(name, took, err)
	return err
}

// unanswered reports whether a call failed without an answer of the store. The duration of such a
// call says nothing about how fast the store is.
func unanswered(err error) bool {
	return errors.Is(err, table.ErrUnreachable) || errors.Is(err, table.ErrUnknownOutcome)
}
