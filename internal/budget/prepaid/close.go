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

// closeWorkers limits the holdings that are closed concurrently.
const closeWorkers = 4

// errConflict reports that a holding's rows differ from the versions that this instance knew.
var errConflict = errors.New("rows have changed")

// RemoveHeadroom removes the headroom from all bounds, so that the next instance recovers what this one
// leaves. It is called before Close, while requests may still be served.
func (p *Manager) RemoveHeadroom() {
	p.init()
	p.sealed.Store(true)
	p.journal.requestWrite()
}

// TransferFree transfers the tokens that are free and within the usage limit to other routers. It is
// for an instance that stops while the store is unreachable.
func (p *Manager) TransferFree(ctx context.Context) {
	p.init()
	for _, h := range p.allHoldings() {
		tokens := p.transferFree(h, math.MaxInt64)
		if tokens <= 0 {
			continue
		}
		if p.offer(ctx, h.workspace, tokens) {
			p.OnEvent(Event{Kind: HoldingTransferred, Workspace: h.workspace, Tokens: tokens})
		}
	}
}

// ReturnExcess returns the free tokens beyond the expected demand of the time ahead. It is for an
// instance that is about to stop: tokens that it still holds when the store becomes
// unreachable are not available to other routers.
func (p *Manager) ReturnExcess(ctx context.Context, ahead time.Duration) error {
	p.init()
	now := time.Now()
	return p.returnAll(ctx, func(h *holding) int64 { return int64(h.demand.TokenRate(now) * ahead.Seconds()) })
}

// Close returns the free tokens of every holding; no request may hold a reservation any more.
// It may be repeated after an error.
func (p *Manager) Close(ctx context.Context) error {
	p.init()
	// The next instance recovers what is not returned in time, by the bounds of this write.
	p.journal.requestWrite()
	return p.returnAll(ctx, keepNothing)
}

// keepNothing is the keep function of a holding that is to be closed.
func keepNothing(*holding) int64 { return 0 }

// returnAll returns the free tokens of all holdings except what keep returns for each; keep is
// called with the holding's lock held.
func (p *Manager) returnAll(ctx context.Context, keep func(h *holding) int64) error {
	pool := pond.NewPool(closeWorkers)
	group := pool.NewGroup()
	for _, h := range p.allHoldings() {
		group.SubmitErr(func() error { return p.returnFree(ctx, h, keep) })
	}
	if err := group.Wait(); err != nil {
		return fmt.Errorf("return tokens: %w", err)
	}
	return nil
}

// returnFree returns the free tokens of one holding; if keep returns 0 the holding is closed.
func (p *Manager) returnFree(ctx context.Context, h *holding, keep func(h *holding) int64) error {
	if err := h.awaitInflight(ctx); err != nil {
		return err
	}
	for range maxDrawAttempts {
		if !p.owns(h) {
			return nil
		}
		if err := p.migrateRows(ctx, h); err != nil {
			return fmt.Errorf("return tokens: %w", err)
		}
		r, err := p.planReturn(h, keep)
		if err != nil || r.isEmpty() {
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

// awaitInflight waits for the draw in progress, whose tokens would not be returned otherwise.
func (h *holding) awaitInflight(ctx context.Context) error {
	h.mu.Lock()
	d := h.inflight
	h.mu.Unlock()
	if d == nil {
		return nil
	}
	select {
	case <-d.done:
		// runDraw reports its outcome.
		return nil
	case <-ctx.Done():
		return fmt.Errorf("return tokens of workspace %q: wait for a draw: %w", h.workspace, ctx.Err())
	}
}

// owns reports whether this instance has a holding of the workspace.
func (p *Manager) owns(h *holding) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.row.Life == p.Incarnation
}

// plannedReturn is one commit that returns tokens.
type plannedReturn struct {
	era    uint64
	commit table.Commit
	free   int64
	kept   holdingRow
	closes bool
}

// isEmpty reports whether there is nothing to commit.
func (r plannedReturn) isEmpty() bool { return r.free == 0 && !r.closes }

// planReturn computes the commit that returns tokens of a holding, and sets these tokens
// aside.
func (p *Manager) planReturn(h *holding, keep func(h *holding) int64) (plannedReturn, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := plannedReturn{era: h.era}
	if h.row.Life != p.Incarnation || !h.rowsCurrent {
		return r, nil
	}
	kept := keep(h)
	h.returning = 0
	h.returning = max(0, h.row.Tokens-h.spentOrAwaited()-kept)
	r.free, r.closes = h.returning, kept == 0
	if r.isEmpty() {
		return r, nil
	}
	left := h.row.Tokens - h.returning
	r.kept = holdingRow{Life: p.Incarnation, Epoch: h.row.Epoch, Tokens: left, Past: h.row.Past}
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
func (p *Manager) commitReturn(ctx context.Context, h *holding, r plannedReturn) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stamp, err := p.Commit(ctx, r.commit)
	p.observeStamp(stamp)
	if err == nil {
		p.applyReturn(h, r, stamp)
		return nil
	}
	if errors.Is(err, table.ErrUnavailable) {
		h.mu.Lock()
		h.returning = 0
		h.mu.Unlock()
	}
	if refreshErr := p.refreshRows(ctx, h, err); refreshErr != nil {
		return fmt.Errorf("return tokens: %w", refreshErr)
	}
	return errConflict
}

// applyReturn records a return that took effect. One in an era that has ended was accounted
// for by startEra.
func (p *Manager) applyReturn(h *holding, r plannedReturn, stamp table.Stamp) {
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
		h.reset()
	}
}

// reset clears the state of a holding that was closed. What was spent of it stays allotted
// permanently, so that the next holding of this instance counts from zero. A reservation that
// was open at that time is allotted in full; what it does not use belongs to the next holding.
// The caller holds mu.
func (h *holding) reset() {
	h.listedSeq, h.drawn, h.spent, h.returning = 0, 0, 0, 0
	h.closedAt = time.Now()
}
