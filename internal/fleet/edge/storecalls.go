package edge

import (
	"context"
	"time"

	"rosevalve/internal/platform/table"
)

// read reads from the store and measures the call.
func (e *Edge) read(ctx context.Context, r table.Range) (table.Page, error) {
	began := time.Now()
	page, err := e.store.Read(ctx, r)
	e.metrics.call("store_read", began, err)
	return page, err
}

// commit writes to the store and measures the call.
func (e *Edge) commit(ctx context.Context, c table.Commit) (table.Stamp, error) {
	began := time.Now()
	stamp, err := e.store.Commit(ctx, c)
	e.metrics.call("store_commit", began, err)
	return stamp, err
}
