package ledger

import (
	"context"
	"fmt"
)

// Draw moves available tokens of the budget into the holding and returns the
// holding. Size says, for the budget as it is, how many tokens to draw. A holding that is
// not in the table yet begins with the term, unless it has been opened before.
//
// Errors are ErrNoBudget, ErrExhausted, ErrHoldingClosed, ErrContended and those of the table.
func (l *Ledger) Draw(ctx context.Context, id HoldingID, opened bool, term Term, size func(BudgetRow) int64) (HoldingRow, error) {
	h, err := l.apply(ctx, id, nil, func(a *account) (bool, error) {
		if a.holding.Closed || (opened && !a.exists()) {
			return false, ErrHoldingClosed
		}
		n := min(size(a.budget), a.budget.Available())
		if n <= 0 {
			return false, ErrExhausted
		}
		if !a.exists() {
			a.holding.Term = term
		}
		a.resize(a.holding.Drawn + n)
		return true, nil
	})
	if err != nil {
		return h, fmt.Errorf("draw from budget %q: %w", id.Budget, err)
	}
	return h, nil
}

// Return moves n unspent tokens of the holding back to the budget and returns the holding.
//
// After an error other than ErrHoldingClosed the tokens may still go back, until
// a later operation on the holding succeeds.
func (l *Ledger) Return(ctx context.Context, id HoldingID, n int64) (HoldingRow, error) {
	h, err := l.applyOpen(ctx, id, nil, func(a *account) (bool, error) {
		if unspent := a.holding.Drawn - a.holding.Billed; n > unspent {
			return false, fmt.Errorf("only %d are unspent", unspent)
		}
		a.resize(a.holding.Drawn - n)
		return true, nil
	})
	if err != nil {
		return h, fmt.Errorf("return %d tokens to budget %q: %w", n, id.Budget, err)
	}
	return h, nil
}

// Fence writes the holding's row again, so that no earlier commit can take effect any more.
func (l *Ledger) Fence(ctx context.Context, id HoldingID) (HoldingRow, error) {
	h, err := l.applyOpen(ctx, id, nil, func(*account) (bool, error) { return true, nil })
	if err != nil {
		return h, fmt.Errorf("fence holding %q: %w", id, err)
	}
	return h, nil
}

// Rename begins a term of the holding.
//
// After an error the term may still begin, until a later operation on the holding succeeds.
func (l *Ledger) Rename(ctx context.Context, id HoldingID, term Term) (HoldingRow, error) {
	h, err := l.applyOpen(ctx, id, nil, func(a *account) (bool, error) {
		a.holding.Term = term
		return true, nil
	})
	if err != nil {
		return h, fmt.Errorf("name witness of holding %q: %w", id, err)
	}
	return h, nil
}

// Finish removes the holding of a holder that has settled everything and starts nothing more.
//
// Errors are ErrHoldingClosed if entries of it are open in the table, ErrContended and those of the table.
func (l *Ledger) Finish(ctx context.Context, id HoldingID) error {
	_, err := l.apply(ctx, id, nil, func(a *account) (bool, error) {
		if !a.exists() {
			return false, nil
		}
		if a.holding.Closed {
			return false, ErrHoldingClosed
		}
		a.remove()
		return true, nil
	})
	if err != nil {
		return fmt.Errorf("finish holding %q: %w", id, err)
	}
	return nil
}

// applyOpen applies a change to a holding that must be in the table and not closed.
func (l *Ledger) applyOpen(ctx context.Context, id HoldingID, requestKeys []string, change func(a *account) (bool, error)) (HoldingRow, error) {
	return l.apply(ctx, id, requestKeys, func(a *account) (bool, error) {
		if !a.exists() || a.holding.Closed {
			return false, ErrHoldingClosed
		}
		return change(a)
	})
}

// Holding returns the row of the holding, and whether it is in the table.
func (l *Ledger) Holding(ctx context.Context, id HoldingID) (HoldingRow, bool, error) {
	a, err := l.read(ctx, id, nil)
	if err != nil {
		return HoldingRow{}, false, fmt.Errorf("read holding %q: %w", id, err)
	}
	return a.holding, a.exists(), nil
}
