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

// recallTime bounds the question to the mirror of an ended life.
const recallTime = 250 * time.Millisecond

// consult asks the mirrors of ended lives, before their holdings are closed.
func (p *Purse) consult(ctx context.Context) {
	defer close(p.journal.consulted)
	for life, f := range p.journal.formerLives() {
		if f.Mirror == "" || f.Mirrored != nil {
			continue
		}
		known, err := p.recall(ctx, f, life)
		if err != nil {
			p.OnEvent(Event{Kind: MirrorSilent, Err: err})
			continue
		}
		if known != nil {
			p.journal.claimed(life, known)
		}
	}
}

// recall asks the mirror of an ended life. It returns nil if the mirror knows nothing that
// counts.
func (p *Purse) recall(ctx context.Context, f formerLife, life string) (*claim, error) {
	ctx, cancel := context.WithTimeout(ctx, recallTime)
	defer cancel()
	// The ended life has used nothing since this one began.
	uptime := time.Since(p.born)
	r, err := p.RecallMirror(ctx, f.Mirror, life)
	if err != nil {
		return nil, fmt.Errorf("recall life %q: %w", life, err)
	}
	if !r.Found || r.Seq < f.MirrorFrom {
		return nil, nil
	}
	return &claim{Bounds: r.Bounds, OverMS: max(0, (r.Age - uptime - mirrorGrace).Milliseconds())}, nil
}

// awaitConsulted waits until the mirrors of ended lives were asked.
func (p *Purse) awaitConsulted(ctx context.Context) error {
	select {
	case <-p.journal.consulted:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("ask the mirror of the last life: %w", errors.Join(ctx.Err(), table.ErrUnavailable))
	}
}

// closeFormer closes the holdings that ended lives of this VM have left. All routers may
// do so at the same time, each in an order of its own.
func (p *Purse) closeFormer(ctx context.Context) {
	pool := pond.NewPool(closeWorkers)
	for left := p.journal.unclosed(); len(left) > 0; left = p.journal.unclosed() {
		if _, settled := p.eras.current(); !settled {
			// What is known of the ended lives may be too old.
			if !sleep(ctx, retryPause) {
				return
			}
			continue
		}
		rand.Shuffle(len(left), func(i, j int) { left[i], left[j] = left[j], left[i] })
		group := pool.NewGroup()
		for _, workspace := range left {
			group.Submit(func() { p.closeOne(ctx, workspace) })
		}
		if err := group.Wait(); err != nil || ctx.Err() != nil {
			return
		}
		if len(p.journal.unclosed()) > 0 && !sleep(ctx, retryPause/2+rand.N(retryPause)) {
			return
		}
	}
}

// closeOne closes the holding of an ended life, if there is one.
func (p *Purse) closeOne(ctx context.Context, workspace string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h := p.holding(workspace)
	err := p.bring(ctx, h)
	if err == nil && !p.heldByFormer(h) {
		p.journal.closed("", workspace)
		return
	}
	if err == nil {
		_, err = p.draw(ctx, h, demand.Need{})
	}
	if !isExhausted(err) {
		p.noteDraw(h, 0, err)
	}
}

func (p *Purse) heldByFormer(h *holding) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.row.Life != "" && h.row.Life != p.Life
}

// usedBy bounds what an ended life has used of a holding.
func (j *journal) usedBy(life, workspace string, drawn int64) int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	f, ok := j.former[life]
	if !ok {
		return drawn
	}
	return min(drawn, f.used(workspace, drawn))
}

// closed notes that an ended life has no holding of the workspace any more; an empty
// life stands for all.
func (j *journal) closed(life, workspace string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for name, f := range j.former {
		if life != "" && name != life {
			continue
		}
		delete(f.Bounds, workspace)
		if len(f.Bounds) == 0 {
			delete(j.former, name)
		}
	}
}

// unclosed lists the workspaces of which ended lives may have holdings.
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

// formerLives returns what is known of the ended lives of this VM.
func (j *journal) formerLives() map[string]formerLife {
	j.mu.Lock()
	defer j.mu.Unlock()
	return maps.Clone(j.former)
}

// claimed takes in what a mirror knows of an ended life.
func (j *journal) claimed(life string, known *claim) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if f, ok := j.former[life]; ok {
		f.Mirrored = known
		j.former[life] = f
	}
}
