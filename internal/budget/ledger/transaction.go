package ledger

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
)

// transaction is one attempt to change a holding: the rows of the holding, its budget
// and the requested bills, as read together, with the changes to commit.
type transaction struct {
	id             HoldingID
	budget         BudgetRow
	budgetVersion  uint64
	holding        HoldingRow
	holdingVersion uint64
	billed         map[string]BillRow // bills in the table or to be inserted, by request key

	// What the commit writes, besides the holding's row.
	budgetChanged  bool
	holdingRemoved bool
	bills          []BillRow
}

// exists reports whether the holding's row is in the table.
func (tx *transaction) exists() bool { return tx.holdingVersion != 0 }

// insertBill adds a bill to the commit and its tokens to the holding, unless its request
// key is billed already.
func (tx *transaction) insertBill(b BillRow) {
	if _, ok := tx.billed[b.RequestKey]; ok {
		return
	}
	tx.billed[b.RequestKey] = b
	tx.bills = append(tx.bills, b)
	tx.holding.Billed += b.Tokens()
}

// setDrawn sets the number of tokens drawn by the holding and adjusts the allotted tokens
// of the budget by the difference.
func (tx *transaction) setDrawn(drawn int64) {
	tx.budget.Drawn += drawn - tx.holding.Drawn
	tx.holding.Drawn = drawn
	tx.budgetChanged = true
}

// removeHolding deletes the row of the holding: the budget takes over its billed tokens,
// and the rest becomes available.
func (tx *transaction) removeHolding() {
	tx.setDrawn(0)
	tx.budget.Billed += tx.holding.Billed
	tx.holdingRemoved = true
}

// apply runs an optimistic transaction on the holding, with the bills of the request
// keys: it reads the rows, calls change and commits, and retries after a conflict or an
// unknown outcome, at most maxCommitTries times. change is called for each attempt; it
// returns false if nothing has to be written.
func (l *Ledger) apply(ctx context.Context, id HoldingID, requestKeys []string, change func(tx *transaction) (bool, error)) (HoldingRow, error) {
	state := applyState{commitID: rand.Text()}
	for range maxCommitTries {
		row, done, err := l.tryApply(ctx, id, requestKeys, change, &state)
		if err != nil && state.inDoubt {
			return row, fmt.Errorf("%w: %w", ErrInDoubt, err)
		}
		if done || err != nil {
			return row, err
		}
	}
	if state.inDoubt {
		return HoldingRow{}, fmt.Errorf("%w: %w: %w", ErrInDoubt, ErrContended, state.lastErr)
	}
	return HoldingRow{}, fmt.Errorf("%w: %w", ErrContended, state.lastErr)
}

// applyState is the state that an operation keeps between its attempts.
type applyState struct {
	commitID string // written to the row, to recognize an own commit whose answer was lost
	inDoubt  bool   // an earlier commit may still take effect
	lastErr  error
}

// tryApply makes one attempt. It reports false, without an error, if the operation must
// be retried.
func (l *Ledger) tryApply(ctx context.Context, id HoldingID, requestKeys []string, change func(tx *transaction) (bool, error), state *applyState) (HoldingRow, bool, error) {
	tx, err := l.read(ctx, id, requestKeys)
	if err != nil {
		return HoldingRow{}, false, err
	}
	if tx.holding.LastCommit == state.commitID {
		return tx.holding, true, nil
	}
	needed, err := change(tx)
	if err != nil || !needed {
		return tx.holding, true, err
	}
	tx.holding.LastCommit = state.commitID
	c, err := tx.buildCommit()
	if err != nil {
		return HoldingRow{}, false, err
	}
	_, state.lastErr = l.Commit(ctx, c)
	var conflict *table.ConflictError
	switch {
	case state.lastErr == nil:
		return tx.holding, true, nil
	case errors.As(state.lastErr, &conflict):
		// Another commit came first. If it was an earlier one of this operation, the
		// next attempt finds its commitID in the row.
		return HoldingRow{}, false, nil
	case errors.Is(state.lastErr, table.ErrUnknownOutcome):
		state.inDoubt = true
		return HoldingRow{}, false, nil
	default:
		return HoldingRow{}, false, state.lastErr
	}
}

func (l *Ledger) read(ctx context.Context, id HoldingID, requestKeys []string) (*transaction, error) {
	keys := []string{BudgetKey(id.Budget), HoldingKey(id)}
	for _, k := range requestKeys {
		keys = append(keys, BillKey(id.Budget.Workspace, k))
	}
	rows, err := l.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	tx := &transaction{id: id, billed: make(map[string]BillRow)}
	tx.holding = HoldingRow{Workspace: id.Budget.Workspace, Budget: id.Budget.Name, Name: id.Name, Holder: l.Holder}
	for _, r := range rows {
		if err := tx.decodeRow(r); err != nil {
			return nil, err
		}
	}
	if tx.budgetVersion == 0 {
		return nil, ErrNoBudget
	}
	return tx, nil
}

func (tx *transaction) decodeRow(r table.Row) error {
	switch {
	case r.Key == BudgetKey(tx.id.Budget):
		tx.budgetVersion = r.Version
		return r.Decode(&tx.budget)
	case r.Key == HoldingKey(tx.id):
		tx.holdingVersion = r.Version
		return r.Decode(&tx.holding)
	case strings.HasPrefix(r.Key, billPrefix):
		var b BillRow
		if err := r.Decode(&b); err != nil {
			return err
		}
		tx.billed[b.RequestKey] = b
	}
	return nil
}

// buildCommit returns the commit of the transaction, or an error if it would violate an
// invariant.
func (tx *transaction) buildCommit() (table.Commit, error) {
	var c table.Commit
	if tx.budget.Available() < 0 {
		return c, fmt.Errorf("budget %q would be overdrawn by %d tokens", tx.id.Budget, -tx.budget.Available())
	}
	if !tx.holdingRemoved && tx.holding.Billed > tx.holding.Drawn {
		return c, fmt.Errorf("bills of %d tokens exceed the %d drawn", tx.holding.Billed, tx.holding.Drawn)
	}
	if tx.budgetChanged {
		c.Require(BudgetKey(tx.id.Budget), tx.budgetVersion)
		if err := c.Set(BudgetKey(tx.id.Budget), tx.budget); err != nil {
			return c, err
		}
	}
	return c, tx.addRows(&c)
}

// addRows adds the holding's row and the new bills to the commit.
func (tx *transaction) addRows(c *table.Commit) error {
	key := HoldingKey(tx.id)
	c.Require(key, tx.holdingVersion)
	if tx.holdingRemoved {
		c.Remove(key)
	} else if err := c.Set(key, tx.holding); err != nil {
		return err
	}
	for _, b := range tx.bills {
		key := BillKey(b.Workspace, b.RequestKey)
		c.Require(key, 0)
		if err := c.Set(key, b); err != nil {
			return err
		}
	}
	return nil
}
