package ledger

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
)

// maxCommitTries bounds the attempts of one operation against conflicts and lost answers.
const maxCommitTries = 8

const scanRows = 500

// ErrExhausted reports that a budget has no available tokens.
var ErrExhausted = errors.New("budget exhausted")

// ErrNoBudget reports that a budget does not exist.
var ErrNoBudget = errors.New("budget does not exist")

// ErrHoldingClosed reports that another router closed the holding.
var ErrHoldingClosed = errors.New("holding closed")

// ErrContended reports that an operation lost every race for its rows.
var ErrContended = errors.New("too many conflicting commits")

// ErrInDoubt reports that a commit of the failed operation may still take effect,
// until a later commit on the same holding succeeds.
var ErrInDoubt = errors.New("operation may still take effect")

// Ledger applies the operations of one router incarnation to the table.
//
// A holder must not run operations on one holding concurrently. Every commit
// requires the version of the holding's row, so that a commit which succeeds
// rules out that an earlier one takes effect later.
type Ledger struct {
	// Holder is the router incarnation that draws and bills.
	Holder string
	// Commit applies a commit to the table, with the errors of table.Client.
	Commit func(ctx context.Context, c table.Commit) (uint64, error)
	// Get reads rows from the table.
	Get func(ctx context.Context, keys ...string) ([]table.Row, error)
	// Scan reads rows with a prefix from the table.
	Scan func(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
}

// Bill returns the bill of the request key, and whether it exists.
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

// Budgets returns the ids of the workspace's budgets that have not ended, in the
// order in which they are used: by their end, then by name.
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
	slices.SortStableFunc(budgets, func(a, b NamedBudget) int { return a.Row.Plan.before(b.Row.Plan) })
	ids := make([]BudgetID, len(budgets))
	for i, b := range budgets {
		ids[i] = b.ID
	}
	return ids, nil
}

// Holdings visits the rows of all holdings of the budgets whose ids begin with the prefix.
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
