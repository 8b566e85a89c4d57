package prepaid

import (
	"context"
	"fmt"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
)

// A return whose answer is lost may have taken effect, or may do so late. Its tokens are pending
// until the rows are known to have changed since it was sent, which also excludes that it takes
// effect later. Meanwhile they are neither spent nor missed: the workspace is not exhausted.

// errReturnPending reports that tokens may or may not have been returned to the store.
var errReturnPending = errors.New("outcome of a return is not known yet")

// returnPending reports whether tokens are being returned, by a commit that is in progress or whose
// outcome is unknown.
func (h *holding) returnPending() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.returning > 0
}

// mayHold reports whether the holding has n tokens free, within the usage limit or not, or may turn
// out to have some by the outcome of a return.
func (h *holding) mayHold(n int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.returning > 0 || h.received+h.free() >= n
}

// requestSettlement schedules the settlement of returns whose outcome is unknown.
func (m *Manager) requestSettlement() {
	select {
	case m.settlementRequested <- struct{}{}:
	default:
	}
}

// runSettlements settles returns whose outcome is unknown, until ctx ends.
func (m *Manager) runSettlements(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.settlementRequested:
		}
		for m.settleReturns(ctx) {
			if !sleep(ctx, retryDelay) {
				return
			}
		}
	}
}

// settleReturns tries to settle the pending returns, and reports whether some are left. The
// journal's writes show when the store answers again.
func (m *Manager) settleReturns(ctx context.Context) (left bool) {
	if m.journal.storeUnreachable() {
		return true
	}
	pool := pond.NewPool(closeWorkers)
	group := pool.NewGroup()
	holdings := m.allHoldings()
	for _, h := range holdings {
		if h.returnPending() {
			group.Submit(func() { m.settleInTurn(ctx, h) })
		}
	}
	// settleInTurn reports its outcome.
	_ = group.Wait()
	for _, h := range holdings {
		left = left || h.returnPending()
	}
	return left
}

// settleInTurn settles the return of one holding when no other commit on it is in progress.
func (m *Manager) settleInTurn(ctx context.Context, h *holding) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	turn, err := h.awaitTurn(ctx)
	if err != nil {
		m.reportDraw(h, 0, err)
		return
	}
	if h.returnPending() {
		err = m.settleReturn(ctx, h)
	}
	h.endTurn(turn, err)
	m.reportDraw(h, 0, err)
}

// settleReturn rewrites the rows unchanged, which excludes that the pending return takes effect
// later. If it already has, the conditions fail and the rows show it.
func (m *Manager) settleReturn(ctx context.Context, h *holding) error {
	var lastErr error
	for range maxDrawAttempts {
		if err := m.migrateRows(ctx, h); err != nil {
			return fmt.Errorf("%w: %w", errReturnPending, err)
		}
		plan, pending := h.planSettlement()
		if !pending {
			return nil
		}
		c, err := plan.commit(m, h.workspace)
		if err != nil {
			return fmt.Errorf("%w: %w", errReturnPending, err)
		}
		stamp, err := m.Commit(ctx, c)
		m.observeStamp(stamp)
		if err == nil && m.applyDraw(h, plan, stamp) {
			return nil
		}
		if err == nil {
			err = errors.Join(errEraPassed, table.ErrUnavailable)
		}
		lastErr = err
		if err := m.refreshRows(ctx, h, err); err != nil {
			return fmt.Errorf("%w: %w", errReturnPending, err)
		}
	}
	return fmt.Errorf("%w: %w", errReturnPending, lastErr)
}

// planSettlement returns the commit that settles a pending return, a draw of no tokens. It reports
// false if there is none.
func (h *holding) planSettlement() (plannedDraw, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := plannedDraw{era: h.era, total: h.total, row: h.row, totalVersion: h.totalVersion, rowVersion: h.rowVersion}
	return d, h.returning > 0 && h.rowsCurrent
}

// awaitTurn waits until no commit on the holding's rows is in progress and begins one.
func (h *holding) awaitTurn(ctx context.Context) (*inflightCommit, error) {
	for {
		h.mu.Lock()
		d := h.inflight
		if d == nil {
			d = &inflightCommit{done: make(chan struct{})}
			h.inflight = d
			h.mu.Unlock()
			return d, nil
		}
		h.mu.Unlock()
		select {
		case <-d.done:
			// Whoever began it reports its outcome.
		case <-ctx.Done():
			return nil, fmt.Errorf("tokens of workspace %q: wait for a commit: %w", h.workspace, ctx.Err())
		}
	}
}

// endTurn ends what awaitTurn has begun, for all who wait for it.
func (h *holding) endTurn(d *inflightCommit, err error) {
	d.err = err
	h.mu.Lock()
	h.inflight = nil
	h.mu.Unlock()
	close(d.done)
}

// knowsNewer reports whether the holding's rows are known from a later commit than the one of the
// given version. The caller holds mu.
func (h *holding) knowsNewer(version uint64) bool { return h.rowsCurrent && version < h.totalVersion }
