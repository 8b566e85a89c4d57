package ledger

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
)

// maxCommitTries is the maximum number of commits of one operation, which is retried
// after conflicts and lost answers.
const maxCommitTries = 8

// scanPageSize is the maximum number of rows in one scan of the table.
const scanPageSize = 500

// ErrExhausted reports that a budget has no available tokens.
var ErrExhausted = errors.New("budget exhausted")

// ErrNoBudget reports that a budget does not exist.
var ErrNoBudget = errors.New("budget does not exist")

// ErrHoldingClosed reports that the holding is closed, or no longer in the table.
var ErrHoldingClosed = errors.New("holding closed")

// ErrContended reports that an operation has used up its commits on conflicts and lost
// answers.
var ErrContended = errors.New("too many conflicting commits")

// ErrInDoubt reports that a commit of the failed operation may still take effect,
// until a later commit on the same holding succeeds.
var ErrInDoubt = errors.New("operation may still take effect")

// Ledger applies the operations of one router incarnation to the table.
//
// A holder must not run operations on one holding concurrently. Every commit on a
// holding requires the version of its row. Hence, once a commit has succeeded, no
// earlier one can take effect later.
type Ledger struct {
	// Holder is the id of the router incarnation that draws and bills.
	Holder string
	// Commit applies a commit to the table, with the errors of table.Client.
	Commit func(ctx context.Context, c table.Commit) (uint64, error)
	// Get reads the rows with the keys from the table; absent rows are left out.
	Get func(ctx context.Context, keys ...string) ([]table.Row, error)
	// Scan reads at most limit rows whose keys have the prefix and follow after, in the
	// order of keys.
	Scan func(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
}

// Bill returns the bill of the request key and reports whether it exists.
func (l *Ledger) Bill(ctx context.Context, workspace, requestKey string) (BillRow, bool, error) {
	rows, err := l.Get(ctx, BillKey(workspace, requestKey))
	if err != nil {
		return BillRow{}, false, fmt.Errorf("read bill: %w", err)
	}
	if len(rows) == 0 {
		return BillRow{}, false, nil
	}
	var b BillRow
	if err := rows[0].Decode(&b); err != nil {
		return BillRow{}, false, fmt.Errorf("read bill: %w", err)
	}
	return b, true, nil
}

// Budget returns the row of the budget.
//
// Errors are ErrNoBudget and those of the table.
func (l *Ledger) Budget(ctx context.Context, id BudgetID) (BudgetRow, error) {
	rows, err := l.Get(ctx, BudgetKey(id))
	if err != nil {
		return BudgetRow{}, fmt.Errorf("read budget %q: %w", id, err)
	}
	if len(rows) == 0 {
		return BudgetRow{}, fmt.Errorf("read budget %q: %w", id, ErrNoBudget)
	}
	var b BudgetRow
	if err := rows[0].Decode(&b); err != nil {
		return BudgetRow{}, fmt.Errorf("read budget %q: %w", id, err)
	}
	return b, nil
}

// Budgets returns the ids of the workspace's budgets that have not ended, in the order
// of use: by end, with the budgets without an end last, then by name.
func (l *Ledger) Budgets(ctx context.Context, workspace string) ([]BudgetID, error) {
	now := time.Now()
	var budgets []NamedBudget
	err := l.scanAll(ctx, budgetPrefix+workspace+"/", func(r table.Row) error {
		b := NamedBudget{ID: parseBudgetKey(r.Key)}
		if err := r.Decode(&b.Row); err != nil {
			return err
		}
		if !b.Row.Plan.Ended(now) {
			budgets = append(budgets, b)
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("list budgets of workspace %q: %w", workspace, err)
	}
	slices.SortStableFunc(budgets, func(a, b NamedBudget) int { return a.Row.Plan.compareEnds(b.Row.Plan) })
	ids := make([]BudgetID, len(budgets))
	for i, b := range budgets {
		ids[i] = b.ID
	}
	return ids, nil
}

// Holdings calls visit for the row of each holding whose id begins with the prefix.
func (l *Ledger) Holdings(ctx context.Context, prefix string, visit func(HoldingRow) error) error {
	err := l.scanAll(ctx, holdingPrefix+prefix, func(r table.Row) error {
		var h HoldingRow
		if err := r.Decode(&h); err != nil {
			return err
		}
		return visit(h)
	})
	if err != nil {
		return fmt.Errorf("list holdings: %w", err)
	}
	return nil
}
