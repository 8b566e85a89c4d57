package allotment

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/platform/table"
)

// settlement is the bills of several budgets for one commit. It holds the tableLock of
// each of its budgets.
type settlement struct {
	budgets  []*budget
	holdings []*holding
	batches  []ledger.Batch
	rows     int
}

// add adds the budget's bills, as many as fit into the commit. The budget's tableLock is
// held; add releases it if there are no bills. It reports false, and adds nothing, if
// the settlement is full.
func (s *settlement) add(b *budget) bool {
	freeRows := table.MaxPuts - s.rows - 1
	if len(s.budgets) > 0 && freeRows < max(b.pendingBillCount(), 1) {
		return false // splitting the bills would cost another commit for the rest
	}
	h, _ := b.holdings()
	bills := b.nextBatch(h, freeRows)
	if len(bills) == 0 {
		b.tableLock.unlock()
		return true
	}
	s.budgets = append(s.budgets, b)
	s.holdings = append(s.holdings, h)
	s.batches = append(s.batches, ledger.Batch{Holding: h.id, Bills: bills})
	s.rows += len(bills) + 1
	return true
}

// settleMany settles the pending bills of all budgets that have no table operation in
// progress, in as few commits as possible.
func (m *Manager) settleMany(ctx context.Context) error {
	s := &settlement{}
	for _, b := range m.allBudgets() {
		if b.pendingBillCount() == 0 || !b.tableLock.tryLock() {
			continue
		}
		if s.add(b) {
			continue
		}
		if err := m.commitSettlement(ctx, s); err != nil {
			b.tableLock.unlock()
			return err
		}
		s = &settlement{}
		s.add(b)
	}
	return m.commitSettlement(ctx, s)
}

// pendingBillCount returns the number of bills of the current holding that are not settled.
func (b *budget) pendingBillCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.current.bills)
}

// commitSettlement commits the settlement and releases the tableLock of its budgets.
func (m *Manager) commitSettlement(ctx context.Context, s *settlement) error {
	defer s.unlock()
	if len(s.batches) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, m.DrawTimeout)
	defer cancel()
	settled, err := m.Ledger.SettleMany(ctx, s.batches)
	if err != nil {
		return fmt.Errorf("settle bills: %w", err)
	}
	settlements.Add(1)
	for i, outcome := range settled {
		if errors.Is(outcome.Err, ledger.ErrHoldingClosed) {
			s.budgets[i].replaceHolding(s.holdings[i], m.nextID(s.budgets[i].id))
			continue
		}
		if outcome.Err != nil {
			m.reportError(outcome.Err)
			continue
		}
		settledBills.Add(int64(len(s.batches[i].Bills)))
		s.budgets[i].applySettlement(s.holdings[i], outcome.Row)
	}
	return nil
}

func (s *settlement) unlock() {
	for _, b := range s.budgets {
		b.tableLock.unlock()
	}
}
