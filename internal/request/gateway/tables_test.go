package gateway

import (
	"context"
	"time"

	"rosevalve/internal/platform/table"
)

// silenceTable makes the table silent for a time. It carries out afterwards what it was sent meanwhile.
func (f *testFleet) silenceTable(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tableSilentUntil = time.Now().Add(d)
}

// carryOutLate carries out the commits that were sent while the table was silent. The caller holds mu.
func (f *testFleet) carryOutLate() {
	if time.Now().Before(f.tableSilentUntil) {
		return
	}
	for _, c := range f.sentInSilence {
		_, _ = f.store.Commit(c)
	}
	f.sentInSilence = nil
}

// awaitTable waits until the table is not silent. It reports false if ctx ends first.
func (f *testFleet) awaitTable(ctx context.Context) bool {
	f.mu.Lock()
	g := gate{openFrom: f.tableSilentUntil}
	f.mu.Unlock()
	return g.waitUntil(ctx)
}

func (f *testFleet) commit(ctx context.Context, c table.Commit) (uint64, error) {
	if !f.awaitTable(ctx) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.sentInSilence = append(f.sentInSilence, c)
		return 0, table.ErrUnknownOutcome
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.carryOutLate()
	switch {
	case f.tableOutage:
		return 0, errTableDown
	case f.lostCommits > 0:
		f.lostCommits--
		_, _ = f.store.Commit(c)
		return 0, table.ErrUnknownOutcome
	case f.delayedCommits > 0:
		f.delayedCommits--
		time.AfterFunc(3*time.Second, func() { _, _ = f.store.Commit(c) })
		return 0, table.ErrUnknownOutcome
	}
	return f.store.Commit(c)
}

func (f *testFleet) get(ctx context.Context, keys ...string) ([]table.Row, error) {
	if !f.awaitTable(ctx) {
		return nil, errTableDown
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.carryOutLate()
	if f.tableOutage {
		return nil, errTableDown
	}
	return f.store.Get(keys), nil
}

func (f *testFleet) scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if !f.awaitTable(ctx) {
		return nil, errTableDown
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.carryOutLate()
	if f.tableOutage {
		return nil, errTableDown
	}
	return f.store.Scan(prefix, after, limit), nil
}

// unavailable reports whether the node is dead, so that its table operations fail, and
// whether the fleet is closed. Reads by key of a dead node then succeed without rows, so
// that its loops end.
func (n *node) unavailable() (dead, fleetClosed bool) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.dead, n.fleet.closed
}

func (n *node) commit(ctx context.Context, c table.Commit) (uint64, error) {
	if dead, _ := n.unavailable(); dead {
		return 0, errTableDown
	}
	return n.fleet.commit(ctx, c)
}

func (n *node) get(ctx context.Context, keys ...string) ([]table.Row, error) {
	if dead, fleetClosed := n.unavailable(); dead {
		if fleetClosed {
			return nil, nil
		}
		return nil, errTableDown
	}
	return n.fleet.get(ctx, keys...)
}

func (n *node) scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if dead, _ := n.unavailable(); dead {
		return nil, errTableDown
	}
	return n.fleet.scan(ctx, prefix, after, limit)
}
