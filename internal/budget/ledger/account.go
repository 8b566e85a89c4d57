package ledger

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
)

// account is a holding's row with its budget's row and the bills asked for, as read together.
type account struct {
	id             HoldingID
	budget         BudgetRow
	budgetVersion  uint64
	holding        HoldingRow
	holdingVersion uint64
	billed         map[string]BillRow // by request key

	// What the change writes, beside the holding's row.
	changesBudget bool
	removed       bool
	bills         []BillRow
}

// exists reports whether the holding's row is in the table.
func (a *account) exists() bool { return a.holdingVersion != 0 }

// insert adds a bill, unless its key is billed already.
func (a *account) insert(b BillRow) {
	if _, ok := a.billed[b.RequestKey]; ok {
		return
	}
	a.billed[b.RequestKey] = b
	a.bills = append(a.bills, b)
	a.holding.Billed += b.Tokens()
}

// resize sets what the holding has drawn and gives the difference to the budget.
func (a *account) resize(drawn int64) {
	a.budget.Allotted += drawn - a.holding.Drawn
	a.holding.Drawn = drawn
	a.changesBudget = true
}

// remove moves what the holding has billed to the budget and deletes its row.
func (a *account) remove() {
	a.resize(0)
	a.budget.Billed += a.holding.Billed
	a.removed = true
}

// apply reads the account, lets change decide, and commits until the change has
// taken effect or fails for good. change is called anew after each conflict; it
// returns false if there is nothing to do.
func (l *Ledger) apply(ctx context.Context, id HoldingID, requestKeys []string, change func(a *account) (bool, error)) (HoldingRow, error) {
	t := try{commitID: rand.Text()}
	for range maxCommitTries {
		row, done, err := l.try(ctx, id, requestKeys, change, &t)
		if err != nil && t.inDoubt {
			return row, fmt.Errorf("%w: %w", ErrInDoubt, err)
		}
		if done || err != nil {
			return row, err
		}
	}
	if t.inDoubt {
		return HoldingRow{}, fmt.Errorf("%w: %w: %w", ErrInDoubt, ErrContended, t.last)
	}
	return HoldingRow{}, fmt.Errorf("%w: %w", ErrContended, t.last)
}

// try is the state of an operation over its commits.
type try struct {
	commitID string
	inDoubt  bool // an earlier commit may still take effect
	last     error
}

// try reads and commits once. It reports false if the operation is to be tried again.
func (l *Ledger) try(ctx context.Context, id HoldingID, requestKeys []string, change func(a *account) (bool, error), t *try) (HoldingRow, bool, error) {
	a, err := l.read(ctx, id, requestKeys)
	if err != nil {
		return HoldingRow{}, false, err
	}
	if a.holding.LastCommit == t.commitID {
		return a.holding, true, nil
	}
	needed, err := change(a)
	if err != nil || !needed {
		return a.holding, true, err
	}
	a.holding.LastCommit = t.commitID
	c, err := a.commit()
	if err != nil {
		return HoldingRow{}, false, err
	}
	_, t.last = l.Commit(ctx, c)
	var conflict *table.ConflictError
	switch {
	case t.last == nil:
		return a.holding, true, nil
	case errors.As(t.last, &conflict):
		// Another commit came first. If it was an earlier one of this operation,
		// the next read shows that.
		return HoldingRow{}, false, nil
	case errors.Is(t.last, table.ErrUnknownOutcome):
		t.inDoubt = true
		return HoldingRow{}, false, nil
	default:
		return HoldingRow{}, false, t.last
	}
}

func (l *Ledger) read(ctx context.Context, id HoldingID, requestKeys []string) (*account, error) {
	keys := []string{BudgetKey(id.Budget), HoldingKey(id)}
	for _, k := range requestKeys {
		keys = append(keys, BillKey(id.Budget.Workspace, k))
	}
	rows, err := l.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	a := &account{id: id, billed: make(map[string]BillRow)}
	a.holding = HoldingRow{Workspace: id.Budget.Workspace, Budget: id.Budget.Name, Name: id.Name, Holder: l.Holder}
	for _, r := range rows {
		if err := a.decode(r); err != nil {
			return nil, err
		}
	}
	if a.budgetVersion == 0 {
		return nil, ErrNoBudget
	}
	return a, nil
}

func (a *account) decode(r table.Row) error {
	switch {
	case r.Key == BudgetKey(a.id.Budget):
		a.budgetVersion = r.Version
		return r.Decode(&a.budget)
	case r.Key == HoldingKey(a.id):
		a.holdingVersion = r.Version
		return r.Decode(&a.holding)
	case strings.HasPrefix(r.Key, billPrefix):
		var b BillRow
		if err := r.Decode(&b); err != nil {
			return err
		}
		a.billed[b.RequestKey] = b
	}
	return nil
}

// commit builds the commit of the account's change and checks its invariants.
func (a *account) commit() (table.Commit, error) {
	var c table.Commit
	if a.budget.Available() < 0 {
		return c, fmt.Errorf("budget %q would be overdrawn by %d tokens", a.id.Budget, -a.budget.Available())
	}
	if !a.removed && a.holding.Billed > a.holding.Drawn {
		return c, fmt.Errorf("bills of %d tokens exceed the %d drawn", a.holding.Billed, a.holding.Drawn)
	}
	if a.changesBudget {
		c.Require(BudgetKey(a.id.Budget), a.budgetVersion)
		if err := c.Set(BudgetKey(a.id.Budget), a.budget); err != nil {
			return c, err
		}
	}
	return c, a.addRows(&c)
}

// addRows adds the holding's row and the bills.
func (a *account) addRows(c *table.Commit) error {
	key := HoldingKey(a.id)
	c.Require(key, a.holdingVersion)
	if a.removed {
		c.Remove(key)
	} else if err := c.Set(key, a.holding); err != nil {
		return err
	}
	for _, b := range a.bills {
		key := BillKey(b.Workspace, b.RequestKey)
		c.Require(key, 0)
		if err := c.Set(key, b); err != nil {
			return err
		}
	}
	return nil
}
