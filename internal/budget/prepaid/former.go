package prepaid

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"

	"rosevalve/internal/budget/demand"
	"rosevalve/internal/platform/table"
)

// recallTimeout limits the query to the mirror of a former incarnation.
const recallTimeout = 250 * time.Millisecond

// queryMirrors queries the mirrors of former incarnations, before their holdings are closed.
func (m *Manager) queryMirrors(ctx context.Context) {
	defer close(m.journal.mirrorsQueried)
	for incarnation, f := range m.journal.formerIncarnations() {
		if f.Mirror == "" || f.Mirrored != nil {
			continue
		}
		bound, err := m.recall(ctx, f, incarnation)
		if err != nil {
			m.OnEvent(Event{Kind: MirrorUnresponsive, Err: err})
			continue
		}
		if bound != nil {
			m.journal.setMirrored(incarnation, bound)
		}
	}
}

// recall queries the mirror of a former incarnation. It returns nil if the mirror has no note
// that counts.
func (m *Manager) recall(ctx context.Context, f formerIncarnation, incarnation string) (*usageBound, error) {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	// The former incarnation has used nothing since this one started.
	uptime := time.Since(m.startedAt)
	r, err := m.FetchNote(ctx, f.Mirror, incarnation)
	if err != nil {
		return nil, fmt.Errorf("recall incarnation %q: %w", incarnation, err)
	}
	if !r.Found || r.Seq < f.MirrorFrom {
		return nil, nil
	}
	return &usageBound{Bounds: r.Bounds, OverMS: max(0, (r.Age - uptime - mirrorGrace).Milliseconds())}, nil
}

// awaitMirrorsQueried waits until the mirrors of former incarnations have been queried.
func (m *Manager) awaitMirrorsQueried(ctx context.Context) error {
	select {
	case <-m.journal.mirrorsQueried:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for the mirrors of former incarnations: %w", errors.Join(ctx.Err(), table.ErrUnavailable))
	}
}

// closeFormer closes the holdings that former incarnations of this VM have left. All routers
// may do so at the same time, each in a random order.
func (m *Manager) closeFormer(ctx context.Context) {
	pool := pond.NewPool(closeWorkers)
	for remaining := m.journal.unclosed(); len(remaining) > 0; remaining = m.journal.unclosed() {
		if _, settled := m.eras.current(); !settled {
			// What is known of the former incarnations may be too old.
			if !sleep(ctx, retryDelay) {
				return
			}
			continue
		}
		rand.Shuffle(len(remaining), func(i, j int) { remaining[i], remaining[j] = remaining[j], remaining[i] })
		group := pool.NewGroup()
		for _, workspace := range remaining {
			group.Submit(func() { m.closeOne(ctx, workspace) })
		}
		if err := group.Wait(); err != nil || ctx.Err() != nil {
			return
		}
		if len(m.journal.unclosed()) > 0 && !sleep(ctx, retryDelay/2+rand.N(retryDelay)) {
			return
		}
	}
}

// closeOne closes the holding of a former incarnation, if there is one.
func (m *Manager) closeOne(ctx context.Context, workspace string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h := m.holding(workspace)
	err := m.migrateRows(ctx, h)
	if err == nil && !m.heldByFormer(h) {
		h.noteClosed()
		m.journal.markClosed("", workspace)
		return
	}
	if err == nil {
		_, err = m.draw(ctx, h, demand.DrawInput{})
	}
	if !isTooFewLeft(err) {
		m.reportDraw(h, 0, err)
	}
}

// noteClosed records that a former incarnation has closed the holding, not long ago perhaps: the journal must still list
// it for the next incarnation, of which a copy of the store may show less.
func (h *holding) noteClosed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closedAt = time.Now()
}

func (m *Manager) heldByFormer(h *holding) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.row.Incarnation != "" && h.row.Incarnation != m.incarnation()
}

// maxUsedBy returns the most tokens that a former incarnation can have used of a holding.
func (j *journal) maxUsedBy(incarnation, workspace string, drawn int64) int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	f, ok := j.former[incarnation]
	if !ok {
		return drawn
	}
	return min(drawn, f.maxUsed(workspace, drawn))
}

// markClosed records that a former incarnation has no holding of the workspace any more; an empty
// ID means all former incarnations.
func (j *journal) markClosed(incarnation, workspace string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for name, f := range j.former {
		if incarnation != "" && name != incarnation {
			continue
		}
		delete(f.Bounds, workspace)
		if len(f.Bounds) == 0 {
			delete(j.former, name)
		}
	}
}

// addFormer records what a former incarnation of this VM has told others in the end, which a copy of the store may not
// show to the next one. It reports false if it is of no use.
func (j *journal) addFormer(usage FinalUsage) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, known := j.former[usage.Incarnation]; known || !j.open || usage.Epoch >= j.epoch {
		return false
	}
	j.former[usage.Incarnation] = formerIncarnation{usageBound: usageBound{Bounds: maps.Clone(usage.Usage)}, Epoch: usage.Epoch}
	return true
}

// unclosed returns the workspaces of which former incarnations may have holdings.
func (j *journal) unclosed() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []string
	for _, f := range j.former {
		for workspace := range f.Bounds {
			out = append(out, workspace)
		}
	}
	return out
}

// formerIncarnations returns what is known of the former incarnations of this VM.
func (j *journal) formerIncarnations() map[string]formerIncarnation {
	j.mu.Lock()
	defer j.mu.Unlock()
	return maps.Clone(j.former)
}

// setMirrored records the usage bound that a mirror has for a former incarnation.
func (j *journal) setMirrored(incarnation string, bound *usageBound) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if f, ok := j.former[incarnation]; ok {
		f.Mirrored = bound
		j.former[incarnation] = f
	}
}
