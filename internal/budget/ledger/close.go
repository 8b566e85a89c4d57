package ledger

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
)

// maxCloseBills is the maximum number of bills in one commit, which also writes the rows of
// the holding and its budget.
const maxCloseBills = table.MaxPuts - 2

// ErrTermChanged reports that a witness record is of a term that is not the current one.
var ErrTermChanged = errors.New("holding has another term")

// WitnessRecord is the record that a sealed witness has of a holding.
type WitnessRecord struct {
	// OpenEntries is the entries without an outcome.
	OpenEntries []Entry
	// Bills is the bills that may not be in the table yet.
	Bills []BillRow
}

// Close closes a holding on the record of its sealed witness: it inserts the
// missing bills, keeps the tokens of open entries reserved and returns the rest to the
// budget.
//
// The term must be the sealed one; otherwise the error is ErrTermChanged. A holding that
// is already closed or gone does not change.
func (l *Ledger) Close(ctx context.Context, id HoldingID, term Term, e WitnessRecord) error {
	for len(e.Bills) > maxCloseBills {
		if err := l.insertRecordBills(ctx, id, term, e.Bills[:maxCloseBills]); err != nil {
			return err
		}
		e.Bills = e.Bills[maxCloseBills:]
	}
	keys := requestKeys(e.Bills)
	for _, entry := range e.OpenEntries {
		keys = append(keys, entry.RequestKey)
	}
	_, err := l.apply(ctx, id, keys, func(tx *transaction) (bool, error) {
		if !tx.exists() || tx.holding.Closed {
			return false, nil
		}
		if tx.holding.Term != term {
			return false, ErrTermChanged
		}
		tx.applyWitnessRecord(e)
		return true, nil
	})
	if err != nil {
		return fmt.Errorf("close holding %q: %w", id, err)
	}
	return nil
}

// applyWitnessRecord closes the holding: it adds the bills and keeps the open entries, or
// removes the row if none is open.
func (tx *transaction) applyWitnessRecord(e WitnessRecord) {
	open := make([]Entry, 0, len(e.OpenEntries))
	var reserved int64
	for _, entry := range e.OpenEntries {
		// The holder may have settled the run after its last append to the witness.
		if bill, ok := tx.billed[entry.RequestKey]; ok && bill.RequestID == entry.RunID {
			continue
		}
		open = append(open, entry)
		reserved += entry.Tokens
	}
	for _, b := range e.Bills {
		tx.insertBill(b)
	}
	if len(open) == 0 {
		tx.removeHolding()
		return
	}
	tx.setDrawn(tx.holding.Billed + reserved)
	tx.holding.Closed = true
	tx.holding.OpenEntries = open
}

// insertRecordBills inserts the bills of a sealed holding that do not fit into the
// closing commit.
func (l *Ledger) insertRecordBills(ctx context.Context, id HoldingID, term Term, bills []BillRow) error {
	_, err := l.apply(ctx, id, requestKeys(bills), func(tx *transaction) (bool, error) {
		if !tx.exists() || tx.holding.Closed {
			return false, nil
		}
		if tx.holding.Term != term {
			return false, ErrTermChanged
		}
		for _, b := range bills {
			tx.insertBill(b)
		}
		return len(tx.bills) > 0, nil
	})
	if err != nil {
		return fmt.Errorf("close holding %q: %w", id, err)
	}
	return nil
}

// EntryOutcome is the outcome of an open entry of a closed holding.
type EntryOutcome struct {
	// Final means that the run has ended, or did not start, and cannot start later.
	Final bool
	// Bill is the bill of the run, or nil if it did not start.
	Bill *BillRow
}

// Resolve writes the known outcomes of the open entries of a closed holding, and removes
// the holding when no entry is open. It does nothing if the holding is open or gone.
// outcome may be called more than once for an entry.
func (l *Ledger) Resolve(ctx context.Context, id HoldingID, outcome func(Entry) EntryOutcome) error {
	row, err := l.read(ctx, id, nil)
	if err != nil {
		return fmt.Errorf("resolve holding %q: %w", id, err)
	}
	var keys []string
	for _, e := range row.holding.OpenEntries {
		keys = append(keys, e.RequestKey)
	}
	_, err = l.apply(ctx, id, keys, func(tx *transaction) (bool, error) {
		if !tx.exists() || !tx.holding.Closed {
			return false, nil
		}
		return tx.resolveOpen(outcome), nil
	})
	if err != nil {
		return fmt.Errorf("resolve holding %q: %w", id, err)
	}
	return nil
}

// resolveOpen removes the open entries whose outcomes are known, with their bills, and
// reports whether there was one. At most maxCloseBills bills fit into the commit.
func (tx *transaction) resolveOpen(outcome func(Entry) EntryOutcome) bool {
	var open []Entry
	var reserved int64
	for _, e := range tx.holding.OpenEntries {
		r := outcome(e)
		if !r.Final || len(tx.bills) == maxCloseBills {
			open = append(open, e)
			reserved += e.Tokens
			continue
		}
		if r.Bill != nil {
			tx.insertBill(*r.Bill)
		}
	}
	if len(open) == len(tx.holding.OpenEntries) {
		return false
	}
	tx.holding.OpenEntries = open
	if len(open) == 0 {
		tx.removeHolding()
		return true
	}
	tx.setDrawn(tx.holding.Billed + reserved)
	return true
}

// ReleaseHolding removes a holding whose outcomes are in doubt and returns its unbilled
// tokens to the budget. The operator who calls it must have made sure that the holder is
// gone and none of its requests is still running.
//
// It reports whether the holding was in the table.
func (l *Ledger) ReleaseHolding(ctx context.Context, id HoldingID) (bool, error) {
	released := false
	_, err := l.apply(ctx, id, nil, func(tx *transaction) (bool, error) {
		if !tx.exists() {
			return false, nil
		}
		tx.removeHolding()
		released = true
		return true, nil
	})
	if err != nil {
		return false, fmt.Errorf("release holding %q: %w", id, err)
	}
	return released, nil
}

// BillClosed inserts the bills of a holding that is no longer in the table and charges them
// to its budget. It skips bills whose keys are in the table, and returns the bills for
// which the budget has too few available tokens. It does nothing if the holding exists.
func (l *Ledger) BillClosed(ctx context.Context, id HoldingID, bills []BillRow) ([]BillRow, error) {
	var unpaid []BillRow
	_, err := l.apply(ctx, id, requestKeys(bills), func(tx *transaction) (bool, error) {
		unpaid = nil
		if tx.exists() {
			return false, nil
		}
		for _, b := range bills {
			if _, ok := tx.billed[b.RequestKey]; !ok && b.Tokens() > tx.budget.Available() {
				unpaid = append(unpaid, b)
				continue
			}
			before := tx.holding.Billed
			tx.insertBill(b)
			tx.budget.Billed += tx.holding.Billed - before
		}
		tx.budgetChanged, tx.holdingRemoved = true, true
		return len(tx.bills) > 0, nil
	})
	if err != nil {
		return nil, fmt.Errorf("bill late for holding %q: %w", id, err)
	}
	return unpaid, nil
}
