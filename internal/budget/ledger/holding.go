package ledger

import (
	"context"
	"fmt"
)

// Draw moves available tokens of the budget into the holding and returns the
// holding. size returns the number of tokens to draw for the current row of the budget;
// it may be called more than once. opened reports whether the holding's row was in the
// table before. If the row is absent, Draw creates it with the term, or returns
// ErrHoldingClosed if opened is true.
//
// Errors are ErrNoBudget, ErrExhausted, ErrHoldingClosed, ErrContended and those of the table.
func (l *Ledger) Draw(ctx context.Context, id HoldingID, opened bool, term Term, size func(BudgetRow) int64) (HoldingRow, error) {
	h, err := l.apply(ctx, id, nil, func(tx *transaction) (bool, error) {
		if tx.holding.Closed || (opened && !tx.exists()) {
			return false, ErrHoldingClosed
		}
		n := min(size(tx.budget), tx.budget.Available())
		if n <= 0 {
			return false, ErrExhausted
		}
		if !tx.exists() {
			tx.holding.Term = term
		}
		tx.setDrawn(tx.holding.Drawn + n)
		return true, nil
	})
	if err != nil {
		return h, fmt.Errorf("draw from budget %q: %w", id.Budget, err)
	}
	return h, nil
}

// Return moves n unbilled tokens of the holding back to the budget and returns the holding.
//
// After an error that wraps ErrInDoubt but not ErrHoldingClosed, the return may still
// take effect, until a later operation on the holding succeeds.
func (l *Ledger) Return(ctx context.Context, id HoldingID, n int64) (HoldingRow, error) {
	h, err := l.applyOpen(ctx, id, nil, func(tx *transaction) (bool, error) {
		if unspent := tx.holding.Drawn - tx.holding.Billed; n > unspent {
			return false, fmt.Errorf("only %d tokens are unspent", unspent)
		}
		tx.setDrawn(tx.holding.Drawn - n)
		return true, nil
	})
	if err != nil {
		return h, fmt.Errorf("return %d tokens to budget %q: %w", n, id.Budget, err)
	}
	return h, nil
}

// Fence writes the holding's row with no change but a new LastCommit, so that no earlier
// commit can take effect later. It returns the row.
func (l *Ledger) Fence(ctx context.Context, id HoldingID) (HoldingRow, error) {
	h, err := l.applyOpen(ctx, id, nil, func(*transaction) (bool, error) { return true, nil })
	if err != nil {
		return h, fmt.Errorf("fence holding %q: %w", id, err)
	}
	return h, nil
}

// SetTerm starts a new term of the holding, usually with another witness, and returns the
// holding.
//
// After an error that wraps ErrInDoubt but not ErrHoldingClosed, the term may still
// start, until a later operation on the holding succeeds.
func (l *Ledger) SetTerm(ctx context.Context, id HoldingID, term Term) (HoldingRow, error) {
	h, err := l.applyOpen(ctx, id, nil, func(tx *transaction) (bool, error) {
		tx.holding.Term = term
		return true, nil
	})
	if err != nil {
		return h, fmt.Errorf("change witness of holding %q: %w", id, err)
	}
	return h, nil
}

// Finish removes a holding from the table and returns its unbilled tokens to the budget.
// The holder has settled all bills and starts no more requests from the holding.
//
// Errors are ErrHoldingClosed if another router has closed the holding and entries are
// still open, ErrContended and those of the table.
func (l *Ledger) Finish(ctx context.Context, id HoldingID) error {
	_, err := l.apply(ctx, id, nil, func(tx *transaction) (bool, error) {
		if !tx.exists() {
			return false, nil
		}
		if tx.holding.Closed {
			return false, ErrHoldingClosed
		}
		tx.removeHolding()
		return true, nil
	})
	if err != nil {
		return fmt.Errorf("finish holding %q: %w", id, err)
	}
	return nil
}

// applyOpen is apply for a holding that must be in the table and not closed; otherwise
// the error is ErrHoldingClosed.
func (l *Ledger) applyOpen(ctx context.Context, id HoldingID, requestKeys []string, change func(tx *transaction) (bool, error)) (HoldingRow, error) {
	return l.apply(ctx, id, requestKeys, func(tx *transaction) (bool, error) {
		if !tx.exists() || tx.holding.Closed {
			return false, ErrHoldingClosed
		}
		return change(tx)
	})
}

// Holding returns the row of the holding and reports whether it is in the table.
func (l *Ledger) Holding(ctx context.Context, id HoldingID) (HoldingRow, bool, error) {
	tx, err := l.read(ctx, id, nil)
	if err != nil {
		return HoldingRow{}, false, fmt.Errorf("read holding %q: %w", id, err)
	}
	return tx.holding, tx.exists(), nil
}
