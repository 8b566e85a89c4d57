package ledger

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
)

// maxCloseBills bounds the bills of one commit, beside the rows of the holding and its budget.
const maxCloseBills = table.MaxPuts - 2

// ErrTermChanged reports that the holding has another term than the evidence is about.
var ErrTermChanged = errors.New("holding has another term")

// Evidence is what a sealed witness knows of a holding.
type Evidence struct {
	// Open are the entries without an outcome.
	Open []Entry
	// Bills are the outcomes that may not be in the table yet.
	Bills []BillRow
}

// Close closes a holding on the evidence of its sealed witness: it inserts the
// missing bills, keeps open entries reserved and returns the rest to the budget.
//
// The term must be the one that was sealed. A holding that is closed already is left alone.
func (l *Ledger) Close(ctx context.Context, id HoldingID, term Term, e Evidence) error {
	for len(e.Bills) > maxCloseBills {
		if err := l.insertEvidence(ctx, id, term, e.Bills[:maxCloseBills]); err != nil {
			return err
		}
		e.Bills = e.Bills[maxCloseBills:]
	}
	keys := requestKeys(e.Bills)
	for _, entry := range e.Open {
		keys = append(keys, entry.RequestKey)
	}
	_, err := l.apply(ctx, id, keys, func(a *account) (bool, error) {
		if !a.exists() || a.holding.Closed {
			return false, nil
		}
		if a.holding.Term != term {
			return false, ErrTermChanged
		}
		a.close(e)
		return true, nil
	})
	if err != nil {
		return fmt.Errorf("close holding %q: %w", id, err)
	}
	return nil
}

// close applies the evidence to the account.
func (a *account) close(e Evidence) {
	open := make([]Entry, 0, len(e.Open))
	var reserved int64
	for _, entry := range e.Open {
		// The holder may have settled the run after its last word to the witness.
		if bill, ok := a.billed[entry.RequestKey]; ok && bill.RequestID == entry.RunID {
			continue
		}
		open = append(open, entry)
		reserved += entry.Tokens
	}
	for _, b := range e.Bills {
		a.insert(b)
	}
	if len(open) == 0 {
		a.remove()
		return
	}
	a.resize(a.holding.Billed + reserved)
	a.holding.Closed = true
	a.holding.Open = open
}

// insertEvidence inserts bills of a sealed holding that do not fit into the closing commit.
func (l *Ledger) insertEvidence(ctx context.Context, id HoldingID, term Term, bills []BillRow) error {
	_, err := l.apply(ctx, id, requestKeys(bills), func(a *account) (bool, error) {
		if !a.exists() || a.holding.Closed {
			return false, nil
		}
		if a.holding.Term != term {
			return false, ErrTermChanged
		}
		for _, b := range bills {
			a.insert(b)
		}
		return len(a.bills) > 0, nil
	})
	if err != nil {
		return fmt.Errorf("close holding %q: %w", id, err)
	}
	return nil
}

// Resolution is the outcome of an open entry of a closed holding.
type Resolution struct {
	// Known means that the entry runs no more and can not run later.
	Known bool
	// Bill is what the entry has used, or nil if it did not run.
	Bill *BillRow
}

// Resolve ends the open entries of a closed holding whose outcomes are known, and
// removes the holding after its last one. A holding that is gone is left alone.
func (l *Ledger) Resolve(ctx context.Context, id HoldingID, outcome func(Entry) Resolution) error {
	row, err := l.read(ctx, id, nil)
	if err != nil {
		return fmt.Errorf("resolve holding %q: %w", id, err)
	}
	var keys []string
	for _, e := range row.holding.Open {
		keys = append(keys, e.RequestKey)
	}
	_, err = l.apply(ctx, id, keys, func(a *account) (bool, error) {
		if !a.exists() || !a.holding.Closed {
			return false, nil
		}
		return a.resolve(outcome), nil
	})
	if err != nil {
		return fmt.Errorf("resolve holding %q: %w", id, err)
	}
	return nil
}

// resolve reports whether an entry has been ended.
func (a *account) resolve(outcome func(Entry) Resolution) bool {
	var open []Entry
	var reserved int64
	for _, e := range a.holding.Open {
		r := outcome(e)
		if !r.Known || len(a.bills) == maxCloseBills {
			open = append(open, e)
			reserved += e.Tokens
			continue
		}
		if r.Bill != nil {
			a.insert(*r.Bill)
		}
	}
	if len(open) == len(a.holding.Open) {
		return false
	}
	a.holding.Open = open
	if len(open) == 0 {
		a.remove()
		return true
	}
	a.resize(a.holding.Billed + reserved)
	return true
}

// ReleaseHolding returns the rest of a holding in doubt to its budget, on the word
// of an operator that its holder is gone and nothing of it runs any more.
//
// It reports whether the holding was there to be released.
func (l *Ledger) ReleaseHolding(ctx context.Context, id HoldingID) (bool, error) {
	released := false
	_, err := l.apply(ctx, id, nil, func(a *account) (bool, error) {
		if !a.exists() {
			return false, nil
		}
		a.remove()
		released = true
		return true, nil
	})
	if err != nil {
		return false, fmt.Errorf("release holding %q: %w", id, err)
	}
	return released, nil
}

// BillLate inserts bills of a holding that is not in the table any more, as far
// as their keys are absent and the budget has tokens available for them. It
// returns the bills that found too few tokens.
func (l *Ledger) BillLate(ctx context.Context, id HoldingID, bills []BillRow) ([]BillRow, error) {
	var unpaid []BillRow
	_, err := l.apply(ctx, id, requestKeys(bills), func(a *account) (bool, error) {
		unpaid = nil
		if a.exists() {
			return false, nil
		}
		for _, b := range bills {
			if _, ok := a.billed[b.RequestKey]; !ok && b.Tokens() > a.budget.Available() {
				unpaid = append(unpaid, b)
				continue
			}
			before := a.holding.Billed
			a.insert(b)
			a.budget.Billed += a.holding.Billed - before
		}
		a.changesBudget, a.removed = true, true
		return len(a.bills) > 0, nil
	})
	if err != nil {
		return nil, fmt.Errorf("bill late for holding %q: %w", id, err)
	}
	return unpaid, nil
}
