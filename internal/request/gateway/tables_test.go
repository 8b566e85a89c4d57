package gateway

import (
	"context"
	"time"

	"rosevalve/internal/platform/table"
)

func (w *world) commit(_ context.Context, c table.Commit) (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.outage:
		return 0, errTableDown
	case w.lost > 0:
		w.lost--
		_, _ = w.store.Commit(c)
		return 0, table.ErrUnknownOutcome
	case w.delayed > 0:
		w.delayed--
		time.AfterFunc(3*time.Second, func() { _, _ = w.store.Commit(c) })
		return 0, table.ErrUnknownOutcome
	}
	return w.store.Commit(c)
}

func (w *world) get(_ context.Context, keys ...string) ([]table.Row, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.outage {
		return nil, errTableDown
	}
	return w.store.Get(keys), nil
}

func (w *world) scan(_ context.Context, prefix, after string, limit int) ([]table.Row, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.outage {
		return nil, errTableDown
	}
	return w.store.Scan(prefix, after, limit), nil
}

// cut reports whether the node's table operations fail. Those of a dead node
// succeed without effect once the world has ended, so that its loops end.
func (n *node) cut() (down, ended bool) {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	return n.dead, n.world.ended
}

func (n *node) commit(ctx context.Context, c table.Commit) (uint64, error) {
	if down, _ := n.cut(); down {
		return 0, errTableDown
	}
	return n.world.commit(ctx, c)
}

func (n *node) get(ctx context.Context, keys ...string) ([]table.Row, error) {
	if down, ended := n.cut(); down {
		if ended {
			return nil, nil
		}
		return nil, errTableDown
	}
	return n.world.get(ctx, keys...)
}

func (n *node) scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if down, _ := n.cut(); down {
		return nil, errTableDown
	}
	return n.world.scan(ctx, prefix, after, limit)
}
