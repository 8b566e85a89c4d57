package prepaid

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
)

// closeWorkers bounds the holdings that are closed at the same time.
const closeWorkers = 4

// errConflict reports that a holding's rows were not as this life last saw them.
var errConflict = errors.New("rows have changed")

// Seal makes the journal cover nothing ahead of what is used, so that the next life gets
// back what this one leaves. It comes before Close, while requests may still be served.
func (p *Purse) Seal() {
	p.init()
	p.sealed.Store(true)
	p.journal.kick()
}

// Leave gives what is free and covered to other routers. It is for a life that ends
// while the store is away.
func (p *Purse) Leave(ctx context.Context) {
	p.init()
	for _, h := range p.all() {
		tokens := p.givePart(h, math.MaxInt64)
		if tokens <= 0 {
			continue
		}
		if p.passOn(ctx, h.workspace, tokens) {
			p.OnEvent(Event{Kind: HoldingLeft, Workspace: h.workspace, Tokens: tokens})
		}
	}
}

// Shrink gives back what is free beyond the demand of some time, for a life that is about
// to end: what it still holds when the store goes away is out of the others' reach.
func (p *Purse) Shrink(ctx context.Context, ahead time.Duration) error {
	p.init()
	now := time.Now()
	return p.returnAll(ctx, func(h *holding) int64 { return int64(h.asked.Rate(now) * ahead.Seconds()) })
}

// Close gives back what is free in each holding; no request may hold a reservation
// any more. It may be repeated after an error.
func (p *Purse) Close(ctx context.Context) error {
	p.init()
	// What is not returned in time is the next life's, by this write.
	p.journal.kick()
	return p.returnAll(ctx, keepNothing)
}

// keepNothing lets a holding be closed.
func keepNothing(*holding) int64 { return 0 }

// returnAll returns the free tokens of all holdings beyond what each is to keep, which is
// asked under the holding's lock.
func (p *Purse) returnAll(ctx context.Context, keep func(h *holding) int64) error {
	pool := pond.NewPool(closeWorkers)
	group := pool.NewGroup()
	for _, h := range p.all() {
		group.SubmitErr(func() error { return p.giveBack(ctx, h, keep) })
	}
	if err := group.Wait(); err != nil {
		return fmt.Errorf("return tokens: %w", err)
	}
	return nil
}

// giveBack returns the free tokens of one holding; one that keeps nothing is closed.
func (p *Purse) giveBack(ctx context.Context, h *holding, keep func(h *holding) int64) error {
	if err := h.awaitFlight(ctx); err != nil {
		return err
	}
	for range maxDrawTries {
		if !p.holds(h) {
			return nil
		}
		if err := p.bring(ctx, h); err != nil {
			return fmt.Errorf("return tokens: %w", err)
		}
		r, err := p.planReturn(h, keep)
		if err != nil || r.nothing() {
			return err
		}
		err = p.commitReturn(ctx, h, r)
		if err == nil {
			p.OnEvent(Event{Kind: HoldingReturned, Workspace: h.workspace, Tokens: r.free})
			return nil
		}
		if !errors.Is(err, errConflict) {
			return err
		}
	}
	return fmt.Errorf("return tokens of workspace %q: %w", h.workspace, errConflict)
}

// awaitFlight waits for the draw that is under way, whose tokens would stay here otherwise.
func (h *holding) awaitFlight(ctx context.Context) error {
	h.mu.Lock()
	f := h.flight
	h.mu.Unlock()
	if f == nil {
		return nil
	}
	select {
	case <-f.done:
		// How it has ended is told where it began.
		return nil
	case <-ctx.Done():
		return fmt.Errorf("return tokens of workspace %q: wait for a draw: %w", h.workspace, ctx.Err())
	}
}

// holds reports whether this life has a holding of the workspace.
func (p *Purse) holds(h *holding) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.row.Life == p.Life
}

// plannedReturn is one commit that returns tokens.
type plannedReturn struct {
	era    uint64
	commit table.Commit
	free   int64
	kept   holdingRow
	closes bool
}

// nothing reports whether there is no need for the commit.
func (r plannedReturn) nothing() bool { return r.free == 0 && !r.closes }

// planReturn makes the commit that returns tokens of a holding, and sets them aside.
func (p *Purse) planReturn(h *holding, keep func(h *holding) int64) (plannedReturn, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := plannedReturn{era: h.era}
	if h.row.Life != p.Life || !h.known {
		return r, nil
	}
	kept := keep(h)
	h.returning = 0
	h.returning = max(0, h.row.Tokens-h.wanted()-kept)
	r.free, r.closes = h.returning, kept == 0
	if r.nothing() {
		return r, nil
	}
	left := h.row.Tokens - h.returning
	r.kept = holdingRow{Life: p.Life, Epoch: h.row.Epoch, Tokens: left, Past: h.row.Past}
	if r.closes {
		r.kept = holdingRow{Past: h.row.Past + left}
	}
	total, holding := totalPlace(h.workspace, h.era), p.holdingPlace(h.workspace, h.era)
	r.commit.RequireAt(total, h.totalVersion)
	r.commit.RequireAt(holding, h.rowVersion)
	fence(&r.commit, h.workspace, h.era)
	err := r.commit.SetAt(total, totalRow{Allotted: h.allotted - h.returning})
	err = errors.Join(err, r.commit.SetAt(holding, r.kept))
	if err != nil {
		return r, fmt.Errorf("return tokens: %w", err)
	}
	return r, nil
}

// commitReturn returns tokens to the store.
func (p *Purse) commitReturn(ctx context.Context, h *holding, r plannedReturn) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stamp, err := p.Commit(ctx, r.commit)
	p.hear(stamp)
	if err == nil {
		p.returned(h, r, stamp)
		return nil
	}
	if errors.Is(err, table.ErrUnavailable) {
		h.mu.Lock()
		h.returning = 0
		h.mu.Unlock()
	}
	if learned := p.learn(ctx, h, err); learned != nil {
		return fmt.Errorf("return tokens: %w", learned)
	}
	return errConflict
}

// returned takes in a return that took effect. One of an era that has passed was taken in
// when the next one began.
func (p *Purse) returned(h *holding, r plannedReturn, stamp table.Stamp) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.era != r.era || stamp.Era != r.era {
		return
	}
	h.drawn -= r.free
	h.returning = 0
	h.allotted -= r.free
	h.row = r.kept
	h.totalVersion, h.rowVersion = stamp.Version, stamp.Version
	if r.closes {
		h.startAnew()
	}
}

// startAnew forgets a holding that was closed. What was spent of it stays allotted for
// good, so that the next holding of this life counts from zero. A reservation that was
// open then is allotted in full; what it does not use is the next holding's. The caller
// holds mu.
func (h *holding) startAnew() {
	h.named, h.drawn, h.spent, h.returning = 0, 0, 0, 0
	h.closedAt = time.Now()
}
