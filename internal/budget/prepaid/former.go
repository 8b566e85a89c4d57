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

// recallTimeout limits the query to the mirror of a former instance.
const recallTimeout = 250 * time.Millisecond

// queryMirrors queries the mirrors of former instances, before their holdings are closed.
func (p *Manager) queryMirrors(ctx context.Context) {
	defer close(p.journal.mirrorsQueried)
	for instance, f := range p.journal.formerInstances() {
		if f.Mirror == "" || f.Mirrored != nil {
			continue
		}
		bound, err := p.recall(ctx, f, instance)
		if err != nil {
			p.OnEvent(Event{Kind: MirrorUnresponsive, Err: err})
			continue
		}
		if bound != nil {
			p.journal.setMirrored(instance, bound)
		}
	}
}

// recall queries the mirror of a former instance. It returns nil if the mirror has no note
// that counts.
func (p *Manager) recall(ctx context.Context, f formerInstance, instance string) (*usageBound, error) {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	// The former instance has used nothing since this one started.
	uptime := time.Since(p.startedAt)
	r, err := p.FetchNote(ctx, f.Mirror, instance)
	if err != nil {
		return nil, fmt.Errorf("recall instance %q: %w", instance, err)
	}
	if !r.Found || r.Seq < f.MirrorFrom {
		return nil, nil
	}
	return &usageBound{Bounds: r.Bounds, OverMS: max(0, (r.Age - uptime - mirrorGrace).Milliseconds())}, nil
}

// awaitMirrorsQueried waits until the mirrors of former instances have been queried.
func (p *Manager) awaitMirrorsQueried(ctx context.Context) error {
	select {
	case <-p.journal.mirrorsQueried:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for the mirrors of former instances: %w", errors.Join(ctx.Err(), table.ErrUnavailable))
	}
}

// closeFormer closes the holdings that former instances of this VM have left. All routers may
// do so at the same time, each in a random order.
func (p *Manager) closeFormer(ctx context.Context) {
	pool := pond.NewPool(closeWorkers)
	for remaining := p.journal.unclosed(); len(remaining) > 0; remaining = p.journal.unclosed() {
		if _, settled := p.eras.current(); !settled {
			// What is known of the former instances may be too old.
			if !sleep(ctx, retryDelay) {
				return
			}
			continue
		}
		rand.Shuffle(len(remaining), func(i, j int) { remaining[i], remaining[j] = remaining[j], remaining[i] })
		group := pool.NewGroup()
		for _, workspace := range remaining {
			group.Submit(func() { p.closeOne(ctx, workspace) })
		}
		if err := group.Wait(); err != nil || ctx.Err() != nil {
			return
		}
		if len(p.journal.unclosed()) > 0 && !sleep(ctx, retryDelay/2+rand.N(retryDelay)) {
			return
		}
	}
}

// closeOne closes the holding of a former instance, if there is one.
func (p *Manager) closeOne(ctx context.Context, workspace string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h := p.holding(workspace)
	err := p.migrateRows(ctx, h)
	if err == nil && !p.heldByFormer(h) {
		p.journal.markClosed("", workspace)
		return
	}
	if err == nil {
		_, err = p.draw(ctx, h, demand.DrawInput{})
	}
	if !isTooFewLeft(err) {
		p.reportDraw(h, 0, err)
	}
}

func (p *Manager) heldByFormer(h *holding) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.row.Life != "" && h.row.Life != p.Incarnation
}

// maxUsedBy returns the most tokens that a former instance can have used of a holding.
func (j *journal) maxUsedBy(instance, workspace string, drawn int64) int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	f, ok := j.former[instance]
	if !ok {
		return drawn
	}
	return min(drawn, f.maxUsed(workspace, drawn))
}

// markClosed records that a former instance has no holding of the workspace any more; an empty
// ID means all former instances.
func (j *journal) markClosed(instance, workspace string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for name, f := range j.former {
		if instance != "" && name != instance {
			continue
		}
		delete(f.Bounds, workspace)
		if len(f.Bounds) == 0 {
			delete(j.former, name)
		}
	}
}

// unclosed returns the workspaces of which former instances may have holdings.
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

// formerInstances returns what is known of the former instances of this VM.
func (j *journal) formerInstances() map[string]formerInstance {
	j.mu.Lock()
	defer j.mu.Unlock()
	return maps.Clone(j.former)
}

// setMirrored records the usage bound that a mirror has for a former instance.
func (j *journal) setMirrored(instance string, bound *usageBound) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if f, ok := j.former[instance]; ok {
		f.Mirrored = bound
		j.former[instance] = f
	}
}
