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

// errConflict reports that a holding's rows differ from the versions that this incarnation knew.
var errConflict = errors.New("rows have changed")

// RemoveHeadroom removes the headroom from all bounds, so that the next incarnation recovers what
// this one leaves. It is called before Close, while requests may still be served.
func (m *Manager) RemoveHeadroom() {
	m.init()
	m.headroomRemoved.Store(true)
	m.journal.requestWrite()
}

// TransferFree transfers the tokens that are free and within the usage limit to other routers. It
// is for an incarnation that stops while the store is unreachable.
func (m *Manager) TransferFree(ctx context.Context) {
	m.init()
	for _, h := range m.allHoldings() {
		tokens := m.transferFree(h, math.MaxInt64)
		if tokens <= 0 {
			continue
		}
		if m.offerTransfer(ctx, h.workspace, tokens) {
			m.OnEvent(Event{Kind: HoldingTransferred, Workspace: h.workspace, Tokens: tokens})
		}
	}
}

// ReturnExcess returns the free tokens beyond the expected demand of the time ahead. It is for an
// incarnation that is about to stop: tokens that it still holds when the store becomes
// unreachable are not available to other routers.
func (m *Manager) ReturnExcess(ctx context.Context, ahead time.Duration) error {
	m.init()
	now := time.Now()
	return m.returnAll(ctx, func(h *holding) int64 { return int64(h.demand.TokenRate(now) * ahead.Seconds()) })
}

// Close returns the free tokens of every holding; no request may hold a reservation any more.
// It may be repeated after an error. Other routers are told what was used, since the store may not answer, or lose
// it.
func (m *Manager) Close(ctx context.Context) error {
	m.init()
	// The next incarnation recovers what is not returned in time, by the bounds of this write.
	m.journal.requestWrite()
	if m.journal.isOverdue(time.Now()) {
		m.tellFinalUsage(ctx)
		return m.returnAll(ctx, keepNothing)
	}
	err := m.returnAll(ctx, keepNothing)
	m.tellFinalUsage(context.WithoutCancel(ctx))
	return err
}

// keepNothing is the keep function of a holding that is to be closed.
func keepNothing(*holding) int64 { return 0 }

// returnAll returns the free tokens of all holdings except what keep returns for each; keep is
// called with the holding's lock held.
func (m *Manager) returnAll(ctx context.Context, keep func(h *holding) int64) error {
	pool := pond.NewPool(closeWorkers)
	group := pool.NewGroup()
	for _, h := range m.allHoldings() {
		group.SubmitErr(func() error { return m.returnFree(ctx, h, keep) })
	}
	if err := group.Wait(); err != nil {
		return fmt.Errorf("return tokens: %w", err)
	}
	return nil
}

// returnFree returns the free tokens of one holding; if keep returns 0 the holding is closed.
func (m *Manager) returnFree(ctx context.Context, h *holding, keep func(h *holding) int64) error {
	// The tokens of a draw in progress would not be returned otherwise.
	turn, err := h.awaitTurn(ctx)
	if err != nil {
		return fmt.Errorf("return tokens: %w", err)
	}
	err = m.returnInTurn(ctx, h, keep)
	h.endTurn(turn, err)
	if h.returnPending() {
		m.requestSettlement()
	}
	return err
}

// returnInTurn returns the free tokens of one holding while no other commit on it is in progress.
func (m *Manager) returnInTurn(ctx context.Context, h *holding, keep func(h *holding) int64) error {
	for range maxDrawAttempts {
		if !m.owns(h) {
			return nil
		}
		if err := m.migrateRows(ctx, h); err != nil {
			return fmt.Errorf("return tokens: %w", err)
		}
		r, err := m.planReturn(h, keep)
		if err != nil || r.isEmpty() {
			return err
		}
		err = m.commitReturn(ctx, h, r)
		if err == nil {
			m.OnEvent(Event{Kind: HoldingReturned, Workspace: h.workspace, Tokens: r.free})
			return nil
		}
		if !errors.Is(err, errConflict) {
			return err
		}
	}
	return fmt.Errorf("return tokens of workspace %q: %w", h.workspace, errConflict)
}

// owns reports whether this incarnation has a holding of the workspace.
func (m *Manager) owns(h *holding) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.row.Incarnation == m.incarnation()
}

// plannedReturn is one commit that returns tokens.
type plannedReturn struct {
	era    uint64
	owner  string // incarnation that returns the tokens
	commit table.Commit
	free   int64
	before int64 // tokens that were pending before
	kept   holdingRow
	total  totalRow // after the commit
	closes bool
}

// isEmpty reports whether there is nothing to commit.
func (r plannedReturn) isEmpty() bool { return r.free == 0 && !r.closes }

// planReturn computes the commit that returns tokens of a holding, and sets these tokens
// aside.
func (m *Manager) planReturn(h *holding, keep func(h *holding) int64) (plannedReturn, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := plannedReturn{era: h.era, owner: m.incarnation()}
	if h.row.Incarnation != m.incarnation() || !h.rowsCurrent {
		return r, nil
	}
	kept := keep(h)
	r.free, r.closes = max(0, h.row.Tokens-h.spentOrAwaited()-kept), kept == 0
	if r.isEmpty() {
		return r, nil
	}
	// An earlier return of more tokens may yet take effect in place of this one.
	r.before = h.returning
	h.returning = max(h.returning, r.free)
	r.total = h.total
	r.total.Allotted -= r.free
	left := h.row.Tokens - r.free
	r.kept = h.row
	r.kept.Tokens = left
	if r.closes {
		r.kept = h.row.closed(left)
	}
	total, holding := totalLocation(h.workspace, h.era), holdingLocation(m.VM, h.workspace, h.era)
	r.commit.RequireAt(total, h.totalVersion)
	r.commit.RequireAt(holding, h.rowVersion)
	fence(&r.commit, h.workspace, h.era)
	err := r.commit.SetAt(total, r.total)
	err = errors.Join(err, r.commit.SetAt(holding, r.kept))
	if err != nil {
		return r, fmt.Errorf("return tokens: %w", err)
	}
	return r, nil
}

// commitReturn returns tokens to the store.
func (m *Manager) commitReturn(ctx context.Context, h *holding, r plannedReturn) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stamp, err := m.Commit(ctx, r.commit)
	m.observeStamp(stamp)
	if err == nil {
		m.applyReturn(h, r, stamp)
		return nil
	}
	if errors.Is(err, table.ErrUnavailable) {
		h.undoReturn(r)
	}
	if refreshErr := m.refreshRows(ctx, h, err); refreshErr != nil {
		return fmt.Errorf("return tokens: %w", refreshErr)
	}
	return errConflict
}

// applyReturn records a return that took effect. One in an era that has ended was accounted
// for by startEra.
func (m *Manager) applyReturn(h *holding, r plannedReturn, stamp table.Stamp) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.era != r.era || stamp.Era != r.era || h.knowsNewer(stamp.Version) || h.row.Incarnation != r.owner {
		return
	}
	h.drawn = r.kept.Tokens
	h.returning = 0
	h.total = r.total
	h.row = r.kept
	h.totalVersion, h.rowVersion = stamp.Version, stamp.Version
	if r.closes {
		h.reset()
	}
}

// undoReturn records that a return certainly had no effect. One before it that is pending stays so,
// unless its outcome has become known meanwhile.
func (h *holding) undoReturn(r plannedReturn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.era == r.era {
		h.returning = min(h.returning, r.before)
	}
}

// reset clears the state of a holding that was closed. What was spent of it stays allotted
// permanently, so that the next holding of this incarnation counts from zero. A reservation that
// was open at that time is allotted in full; what it does not use belongs to the next holding.
// The caller holds mu.
func (h *holding) reset() {
	h.listedSeq, h.drawn, h.spent, h.returning = 0, 0, 0, 0
	h.closedAt = time.Now()
}
