package ledger

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"

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

// Ledger applies the operations of one router incarnation to the table.
//
// The operations on one budget must not run concurrently.
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

// account is a budget's row and the holder's own row, as read together.
type account struct {
	budget         BudgetRow
	budgetVersion  uint64
	holding        HoldingRow
	holdingVersion uint64
}

// Draw moves up to want available tokens of the budget into the holding and
// returns the holding.
//
// Errors are ErrNoBudget, ErrExhausted, ErrContended and those of the table.
func (l *Ledger) Draw(ctx context.Context, id BudgetID, want int64) (HoldingRow, error) {
	commitID := rand.Text()
	var lastErr error
	for range maxCommitTries {
		acc, err := l.read(ctx, id)
		if err != nil {
			return HoldingRow{}, fmt.Errorf("draw from budget %q: %w", id, err)
		}
		if acc.holding.LastCommit == commitID {
			return acc.holding, nil
		}
		n := min(want, acc.budget.Available())
		if n <= 0 {
			return acc.holding, fmt.Errorf("draw from budget %q: %w", id, ErrExhausted)
		}
		acc.budget.Allotted += n
		acc.holding.Drawn += n
		acc.holding.LastCommit = commitID
		lastErr = l.commitAccount(ctx, id, acc)
		if lastErr == nil {
			return acc.holding, nil
		}
		if !retryable(lastErr) {
			return HoldingRow{}, fmt.Errorf("draw from budget %q: %w", id, lastErr)
		}
	}
	return HoldingRow{}, fmt.Errorf("draw from budget %q: %w: %w", id, ErrContended, lastErr)
}

// Return moves unspent tokens of the holding back to the budget and returns the holding.
func (l *Ledger) Return(ctx context.Context, id BudgetID, n int64) (HoldingRow, error) {
	commitID := rand.Text()
	var lastErr error
	for range maxCommitTries {
		acc, err := l.read(ctx, id)
		if err != nil {
			return HoldingRow{}, fmt.Errorf("return to budget %q: %w", id, err)
		}
		if acc.holdingVersion == 0 {
			return HoldingRow{}, fmt.Errorf("return to budget %q: %w", id, ErrHoldingClosed)
		}
		if acc.holding.LastCommit == commitID {
			return acc.holding, nil
		}
		acc.budget.Allotted -= n
		acc.holding.Drawn -= n
		acc.holding.LastCommit = commitID
		if acc.holding.Drawn < acc.holding.Billed {
			return HoldingRow{}, fmt.Errorf("return %d tokens to budget %q: only %d are unspent", n, id, acc.holding.Drawn+n-acc.holding.Billed)
		}
		lastErr = l.commitAccount(ctx, id, acc)
		if lastErr == nil {
			return acc.holding, nil
		}
		if !retryable(lastErr) {
			return HoldingRow{}, fmt.Errorf("return to budget %q: %w", id, lastErr)
		}
	}
	return HoldingRow{}, fmt.Errorf("return to budget %q: %w: %w", id, ErrContended, lastErr)
}

// Settle inserts the bills that no one has inserted yet and adds them to the holding.
//
// It returns the holding after the commit. A bill whose key is already in the
// table is dropped: its request has been billed.
func (l *Ledger) Settle(ctx context.Context, id BudgetID, bills []BillRow) (HoldingRow, error) {
	commitID := rand.Text()
	var lastErr error
	for range maxCommitTries {
		acc, fresh, err := l.readForSettle(ctx, id, bills)
		if err != nil {
			return HoldingRow{}, fmt.Errorf("settle budget %q: %w", id, err)
		}
		if acc.holdingVersion == 0 {
			return HoldingRow{}, fmt.Errorf("settle budget %q: %w", id, ErrHoldingClosed)
		}
		if acc.holding.LastCommit == commitID || len(fresh) == 0 {
			return acc.holding, nil
		}
		acc.holding.LastCommit = commitID
		lastErr = l.commitBills(ctx, id, &acc, fresh)
		if lastErr == nil {
			return acc.holding, nil
		}
		if !retryable(lastErr) {
			return HoldingRow{}, fmt.Errorf("settle budget %q: %w", id, lastErr)
		}
	}
	return HoldingRow{}, fmt.Errorf("settle budget %q: %w: %w", id, ErrContended, lastErr)
}

// Holding returns the holder's row for the budget; it is zero if nothing was drawn.
func (l *Ledger) Holding(ctx context.Context, id BudgetID) (HoldingRow, error) {
	acc, err := l.read(ctx, id)
	if err != nil {
		return HoldingRow{}, fmt.Errorf("read holding of budget %q: %w", id, err)
	}
	return acc.holding, nil
}

// Budget returns the row of the budget.
func (l *Ledger) Budget(ctx context.Context, id BudgetID) (BudgetRow, error) {
	acc, err := l.read(ctx, id)
	if err != nil {
		return BudgetRow{}, fmt.Errorf("read budget %q: %w", id, err)
	}
	return acc.budget, nil
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

// Budgets returns the ids of the workspace's budgets, ordered by name.
func (l *Ledger) Budgets(ctx context.Context, workspace string) ([]BudgetID, error) {
	prefix := budgetPrefix + workspace + "/"
	rows, err := l.Scan(ctx, prefix, "", table.MaxPuts)
	if err != nil {
		return nil, fmt.Errorf("list budgets of workspace %q: %w", workspace, err)
	}
	ids := make([]BudgetID, len(rows))
	for i, r := range rows {
		ids[i] = BudgetID{Workspace: workspace, Name: strings.TrimPrefix(r.Key, prefix)}
	}
	return ids, nil
}

func (l *Ledger) read(ctx context.Context, id BudgetID) (account, error) {
	rows, err := l.Get(ctx, BudgetKey(id), HoldingKey(id, l.Holder))
	if err != nil {
		return account{}, err
	}
	return l.decodeAccount(id, rows)
}

// readForSettle reads the account and returns the bills whose keys are absent.
func (l *Ledger) readForSettle(ctx context.Context, id BudgetID, bills []BillRow) (account, []BillRow, error) {
	keys := []string{BudgetKey(id), HoldingKey(id, l.Holder)}
	for _, b := range bills {
		keys = append(keys, BillKey(b.Workspace, b.RequestKey))
	}
	rows, err := l.Get(ctx, keys...)
	if err != nil {
		return account{}, nil, err
	}
	acc, err := l.decodeAccount(id, rows)
	if err != nil {
		return account{}, nil, err
	}
	present := make(map[string]bool, len(rows))
	for _, r := range rows {
		present[r.Key] = true
	}
	var fresh []BillRow
	for _, b := range bills {
		key := BillKey(b.Workspace, b.RequestKey)
		if !present[key] {
			fresh = append(fresh, b)
			present[key] = true
		}
	}
	return acc, fresh, nil
}

func (l *Ledger) decodeAccount(id BudgetID, rows []table.Row) (account, error) {
	acc := account{holding: HoldingRow{Workspace: id.Workspace, Budget: id.Name, Holder: l.Holder}}
	for _, r := range rows {
		switch r.Key {
		case BudgetKey(id):
			acc.budgetVersion = r.Version
			if err := r.Decode(&acc.budget); err != nil {
				return account{}, err
			}
		case HoldingKey(id, l.Holder):
			acc.holdingVersion = r.Version
			if err := r.Decode(&acc.holding); err != nil {
				return account{}, err
			}
		}
	}
	if acc.budgetVersion == 0 {
		return account{}, ErrNoBudget
	}
	return acc, nil
}

func (l *Ledger) commitAccount(ctx context.Context, id BudgetID, acc account) error {
	var c table.Commit
	c.Require(BudgetKey(id), acc.budgetVersion)
	c.Require(HoldingKey(id, l.Holder), acc.holdingVersion)
	if err := c.Set(BudgetKey(id), acc.budget); err != nil {
		return err
	}
	if err := c.Set(HoldingKey(id, l.Holder), acc.holding); err != nil {
		return err
	}
	_, err := l.Commit(ctx, c)
	return err
}

func (l *Ledger) commitBills(ctx context.Context, id BudgetID, acc *account, bills []BillRow) error {
	var c table.Commit
	c.Require(HoldingKey(id, l.Holder), acc.holdingVersion)
	for _, b := range bills {
		key := BillKey(b.Workspace, b.RequestKey)
		c.Require(key, 0)
		if err := c.Set(key, b); err != nil {
			return err
		}
		acc.holding.Billed += b.Tokens()
	}
	if acc.holding.Billed > acc.holding.Drawn {
		return fmt.Errorf("bills of %d tokens exceed the %d drawn", acc.holding.Billed, acc.holding.Drawn)
	}
	if err := c.Set(HoldingKey(id, l.Holder), acc.holding); err != nil {
		return err
	}
	_, err := l.Commit(ctx, c)
	return err
}

// retryable reports whether the same operation may be tried again after reading the rows anew.
func retryable(err error) bool {
	var conflict *table.ConflictError
	return errors.As(err, &conflict) || errors.Is(err, table.ErrUnknownOutcome)
}
