package allotment

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/protocol/inner"
)

// Settle runs one round of maintenance: it settles the pending bills of every budget,
// replaces failed witnesses, resolves closed holdings and returns idle tokens.
func (m *Manager) Settle(ctx context.Context) error {
	m.init()
	if err := m.settleMany(ctx); err != nil {
		return err
	}
	group := m.pool.NewGroup()
	for _, b := range m.allBudgets() {
		group.SubmitErr(func() error { return m.maintain(ctx, b) })
	}
	if err := group.Wait(); err != nil {
		return fmt.Errorf("settle bills: %w", err)
	}
	return nil
}

// maintain runs the part of Settle that concerns one budget.
func (m *Manager) maintain(ctx context.Context, b *budget) error {
	ctx, cancel := context.WithTimeout(ctx, m.DrawTimeout)
	defer cancel()
	current, former := b.holdings()
	if m.needsWitness(b, current) {
		m.replaceWitness(ctx, b, current)
	}
	if err := b.tableLock.lock(ctx); err != nil {
		return err
	}
	defer b.tableLock.unlock()
	if err := m.settle(ctx, b, current); err != nil {
		return err
	}
	for _, h := range former {
		if err := m.resolve(ctx, b, h); err != nil {
			return err
		}
	}
	b.dropResolvedFormer()
	if b.dueForReturn(current, m.IdleTimeout) {
		return m.retire(ctx, b, current)
	}
	return nil
}

// needsWitness reports whether the holding is paused, or has no witness although one is
// available. It pauses the holding if its witness is suspected to have failed.
func (m *Manager) needsWitness(b *budget, h *holding) bool {
	_, ok := m.pickWitness(nil)
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.term.Witness != "" && m.WitnessSuspected != nil && m.WitnessSuspected(h.term.Witness) {
		h.paused = true
	}
	return h.opened && !h.closed && (h.paused || (ok && h.term.Witness == ""))
}

// dueForReturn reports whether the budget has had no request for longer than idleTimeout,
// or the outcome of an earlier return or finish of the holding is in doubt.
func (b *budget) dueForReturn(h *holding, idleTimeout time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return h.returnInDoubt || (h.opened && time.Since(b.demand.LastRequestAt()) > idleTimeout)
}

// settle settles the holding's pending bills in batches. The caller holds tableLock.
func (m *Manager) settle(ctx context.Context, b *budget, h *holding) error {
	for {
		batch := b.nextBatch(h, maxSettleBills)
		if len(batch) == 0 {
			return nil
		}
		row, err := m.Ledger.Settle(ctx, h.id, batch)
		if errors.Is(err, ledger.ErrHoldingClosed) {
			b.replaceHolding(h, m.nextID(b.id))
			return nil
		}
		if err != nil {
			return err
		}
		settlements.Add(1)
		settledBills.Add(int64(len(batch)))
		b.applySettlement(h, row)
	}
}

// resolve settles the rest of a former holding and writes the outcomes of its entries to
// the table. The caller holds tableLock.
func (m *Manager) resolve(ctx context.Context, b *budget, h *holding) error {
	unsettled := b.beginResolve(h)
	batch := b.nextBatch(h, maxSettleBills)
	row, err := m.Ledger.Settle(ctx, h.id, batch)
	switch {
	case err == nil:
		// The witness has sealed the book, but no router has closed the holding yet.
		b.applySettlement(h, row)
		err = m.finishSealed(ctx, b, h)
	case errors.Is(err, ledger.ErrHoldingClosed):
		err = m.writeOutcomes(ctx, b, h, batch, unsettled)
	}
	if err != nil {
		b.markUnresolved(h)
	}
	return err
}

// finishSealed finishes a sealed holding that has no reservations or bills left. Otherwise
// the next round resolves it again.
func (m *Manager) finishSealed(ctx context.Context, b *budget, h *holding) error {
	b.mu.Lock()
	h.resolved = h.reserved == 0 && len(h.bills) == 0
	done := h.resolved
	b.mu.Unlock()
	if !done {
		return nil
	}
	return m.Ledger.Finish(ctx, h.id)
}

// writeOutcomes writes the outcomes of the open entries of a closed holding to the table.
// Bills are billed late if the row of the holding is gone.
func (m *Manager) writeOutcomes(ctx context.Context, b *budget, h *holding, batch []ledger.BillRow, unsettled map[string]bool) error {
	bills := make(map[string]*ledger.BillRow, len(batch))
	for i := range batch {
		bills[batch[i].RequestID] = &batch[i]
	}
	err := m.Ledger.Resolve(ctx, h.id, func(e ledger.Entry) ledger.EntryOutcome {
		if bill, ok := bills[e.RunID]; ok {
			return ledger.EntryOutcome{Final: true, Bill: bill}
		}
		// This router has an entry for every run that it started and did not settle, so
		// a run without an entry here did not run.
		return ledger.EntryOutcome{Final: !unsettled[e.RunID]}
	})
	if err != nil {
		return err
	}
	if len(batch) > 0 {
		unpaid, err := m.Ledger.BillClosed(ctx, h.id, batch)
		if err != nil {
			return err
		}
		unpaidBills.Add(int64(len(unpaid)))
	}
	b.applySettlement(h, ledger.HoldingRow{})
	return nil
}

// beginResolve marks the holding as resolved and returns the ids of the runs without a
// settled outcome. A change during the resolution clears the mark.
func (b *budget) beginResolve(h *holding) map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.resolved = true
	out := make(map[string]bool, len(h.entries))
	for id := range h.entries {
		out[id] = true
	}
	return out
}

// markUnresolved has the next round resolve the holding again.
func (b *budget) markUnresolved(h *holding) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.resolved = false
}

// ReturnFree returns this router's free tokens to the budget. Its result is the number of tokens
// that were free.
func (m *Manager) ReturnFree(ctx context.Context, id ledger.BudgetID) (int64, error) {
	m.init()
	b := m.budget(id)
	if err := b.tableLock.lock(ctx); err != nil {
		return 0, err
	}
	defer b.tableLock.unlock()
	h, _ := b.holdings()
	b.mu.Lock()
	n := h.free()
	b.mu.Unlock()
	if err := m.returnFreeTokens(ctx, b, h); err != nil {
		return 0, err
	}
	return n, nil
}

// returnFreeTokens returns the free tokens of the holding to the budget. The caller holds
// tableLock.
func (m *Manager) returnFreeTokens(ctx context.Context, b *budget, h *holding) error {
	if err := m.fence(ctx, b, h); err != nil {
		return err
	}
	b.mu.Lock()
	n := h.free()
	h.withheld += max(n, 0)
	b.mu.Unlock()
	if n <= 0 {
		return nil
	}
	row, err := m.Ledger.Return(ctx, h.id, n)
	if errors.Is(err, ledger.ErrHoldingClosed) {
		b.replaceHolding(h, m.nextID(b.id))
		return nil
	}
	if err != nil {
		b.recordReturnFailure(h, errors.Is(err, ledger.ErrInDoubt))
		return fmt.Errorf("return free tokens: %w", err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	returns.Add(1)
	h.applyRow(row)
	h.withheld = 0
	return nil
}

// fence reads the totals after a return in doubt, with a write that prevents the return
// from taking effect later, and ends the withholding. The caller holds tableLock.
func (m *Manager) fence(ctx context.Context, b *budget, h *holding) error {
	b.mu.Lock()
	returnInDoubt := h.returnInDoubt
	b.mu.Unlock()
	if !returnInDoubt {
		return nil
	}
	row, err := m.Ledger.Fence(ctx, h.id)
	if errors.Is(err, ledger.ErrHoldingClosed) {
		b.replaceHolding(h, m.nextID(b.id))
		return nil
	}
	if err != nil {
		return fmt.Errorf("return free tokens: %w", err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	h.applyRow(row)
	h.withheld = 0
	h.returnInDoubt = false
	return nil
}

// Close settles the pending bills, returns the free tokens, and finishes the holdings
// that have no request in flight. Reserve must not be called after it.
func (m *Manager) Close(ctx context.Context) error {
	if err := m.Settle(ctx); err != nil {
		return err
	}
	for _, b := range m.allBudgets() {
		if err := m.finishBudget(ctx, b); err != nil {
			return err
		}
	}
	return nil
}

func (m *Manager) finishBudget(ctx context.Context, b *budget) error {
	if err := b.tableLock.lock(ctx); err != nil {
		return err
	}
	defer b.tableLock.unlock()
	h, former := b.holdings()
	if err := m.retire(ctx, b, h); err != nil {
		return err
	}
	for _, h := range append(former, h) {
		if err := m.resolveIfClosed(ctx, b, h); err != nil {
			return err
		}
	}
	return nil
}

// resolveIfClosed resolves the holding if it is closed and not yet resolved.
func (m *Manager) resolveIfClosed(ctx context.Context, b *budget, h *holding) error {
	b.mu.Lock()
	due := h.closed && !h.resolved
	b.mu.Unlock()
	if !due {
		return nil
	}
	return m.resolve(ctx, b, h)
}

// retire finishes a holding that is idle, and otherwise returns its free tokens. The
// caller holds tableLock.
func (m *Manager) retire(ctx context.Context, b *budget, h *holding) error {
	b.mu.Lock()
	openAttempted := h.lastTermNumber > 0 && !h.closed
	b.mu.Unlock()
	if !openAttempted {
		return nil
	}
	if !b.withholdIfIdle(h) {
		return m.returnFreeTokens(ctx, b, h)
	}
	err := m.Ledger.Finish(ctx, h.id)
	if err != nil && !errors.Is(err, ledger.ErrHoldingClosed) {
		b.recordReturnFailure(h, errors.Is(err, ledger.ErrInDoubt))
		return err
	}
	b.replaceHolding(h, m.nextID(b.id))
	if err == nil {
		b.mu.Lock()
		h.resolved = true
		b.mu.Unlock()
		m.notifyFinished(h)
	}
	return nil
}

// withholdIfIdle withholds all free tokens of an idle holding, so that nothing is
// reserved while its row is removed. It reports false if the holding is not idle.
func (b *budget) withholdIfIdle(h *holding) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed || !h.idle() {
		return false
	}
	h.withheld += h.free()
	return true
}

// recordReturnFailure ends a failed return or finish. The withheld tokens become free
// again unless it may still take effect.
func (b *budget) recordReturnFailure(h *holding, inDoubt bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.returnInDoubt = h.returnInDoubt || inDoubt
	if !h.returnInDoubt {
		h.withheld = 0
	}
}

// notifyFinished has the witness drop the entries of a finished holding. If the message
// is lost, the witness only keeps them for longer.
func (m *Manager) notifyFinished(h *holding) {
	if h.term.Witness == "" {
		return
	}
	final := inner.WitnessBook{Holding: h.id.String(), Term: h.term.Number, Final: true}
	msg := inner.WitnessAppend{Witness: h.term.Witness, Books: []inner.WitnessBook{final}}
	if _, err := m.appendTo(Witness{ID: h.term.Witness, Addr: h.term.Addr}, msg); err != nil {
		m.reportError(err)
	}
}
