package ledger

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
)

const grantPrefix = "grant/"

// ErrBudgetExists reports that the budget to create exists already.
var ErrBudgetExists = errors.New("budget exists already")

// grantRow records that a command has granted tokens; its key contains the command id.
type grantRow struct {
	Budget string `json:"budget"`
	Tokens int64  `json:"tokens"`
}

// Create creates a budget with tokens and the zero BudgetSettings. commandID is an idempotency key:
// a command that was already applied changes nothing.
//
// Errors are ErrBudgetExists and those of the table.
func (l *Ledger) Create(ctx context.Context, id BudgetID, tokens int64, commandID string) error {
	return l.CreateWithSettings(ctx, id, tokens, BudgetSettings{}, commandID)
}

// CreateWithSettings creates a budget with tokens and settings. commandID is an idempotency key:
// a command that was already applied changes nothing.
//
// Errors are ErrBudgetExists and those of the table.
func (l *Ledger) CreateWithSettings(ctx context.Context, id BudgetID, tokens int64, settings BudgetSettings, commandID string) error {
	if err := l.grant(ctx, id, tokens, commandID, &settings); err != nil {
		return fmt.Errorf("create budget %q: %w", id, err)
	}
	return nil
}

// TopUp adds tokens to a budget. commandID is an idempotency key: a command that was
// already applied changes nothing.
//
// Errors are ErrNoBudget and those of the table.
func (l *Ledger) TopUp(ctx context.Context, id BudgetID, tokens int64, commandID string) error {
	if err := l.grant(ctx, id, tokens, commandID, nil); err != nil {
		return fmt.Errorf("top up budget %q: %w", id, err)
	}
	return nil
}

// grant creates a budget with tokens if settings is not nil, and otherwise adds tokens to an
// existing one. It retries like apply.
func (l *Ledger) grant(ctx context.Context, id BudgetID, tokens int64, commandID string, settings *BudgetSettings) error {
	var lastErr error
	for range maxCommitTries {
		var done bool
		done, lastErr = l.tryGrant(ctx, id, tokens, commandID, settings)
		if done || !retryable(lastErr) {
			return lastErr
		}
	}
	return fmt.Errorf("%w: %w", ErrContended, lastErr)
}

// tryGrant makes one attempt and reports whether the command has been applied, now or
// earlier.
func (l *Ledger) tryGrant(ctx context.Context, id BudgetID, tokens int64, commandID string, settings *BudgetSettings) (bool, error) {
	grantKey := grantPrefix + commandID
	rows, err := l.Get(ctx, BudgetKey(id), grantKey)
	if err != nil {
		return false, err
	}
	var budget BudgetRow
	var version uint64
	for _, r := range rows {
		if r.Key == grantKey {
			return true, nil
		}
		version = r.Version
		if err := r.Decode(&budget); err != nil {
			return false, err
		}
	}
	switch {
	case settings != nil && version != 0:
		return false, ErrBudgetExists
	case settings == nil && version == 0:
		return false, ErrNoBudget
	case settings != nil:
		budget.Plan = *settings
	}
	budget.Granted += tokens
	var c table.Commit
	c.Require(BudgetKey(id), version)
	c.Require(grantKey, 0)
	if err := c.Set(BudgetKey(id), budget); err != nil {
		return false, err
	}
	if err := c.Set(grantKey, grantRow{Budget: id.String(), Tokens: tokens}); err != nil {
		return false, err
	}
	_, err = l.Commit(ctx, c)
	return err == nil, err
}

// NamedBudget is a budget's row with its id.
type NamedBudget struct {
	ID  BudgetID
	Row BudgetRow
	// Spent is the number of tokens billed by the holdings in the table and by former ones.
	Spent int64
}

// List returns the budgets of a workspace with the tokens spent from them. An empty
// workspace stands for all workspaces.
func (l *Ledger) List(ctx context.Context, workspace string) ([]NamedBudget, error) {
	prefix := budgetPrefix
	holdings := ""
	if workspace != "" {
		prefix += workspace + "/"
		holdings += workspace + "/"
	}
	spent, err := l.spentByBudget(ctx, holdings)
	if err != nil {
		return nil, fmt.Errorf("list budgets: %w", err)
	}
	var out []NamedBudget
	err = l.scanAll(ctx, prefix, func(r table.Row) error {
		var row BudgetRow
		if err := r.Decode(&row); err != nil {
			return err
		}
		id := parseBudgetKey(r.Key)
		out = append(out, NamedBudget{ID: id, Row: row, Spent: row.Billed + spent[id]})
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("list budgets: %w", err)
	}
	return out, nil
}

func (l *Ledger) spentByBudget(ctx context.Context, prefix string) (map[BudgetID]int64, error) {
	out := make(map[BudgetID]int64)
	err := l.Holdings(ctx, prefix, func(h HoldingRow) error {
		out[h.ID().Budget] += h.Billed
		return nil
	})
	return out, err
}

// Bills returns the bills of a workspace in the order of their keys. An empty workspace
// stands for all workspaces.
func (l *Ledger) Bills(ctx context.Context, workspace string) ([]BillRow, error) {
	prefix := billPrefix
	if workspace != "" {
		prefix += workspace + "/"
	}
	var out []BillRow
	err := l.scanAll(ctx, prefix, func(r table.Row) error {
		var b BillRow
		if err := r.Decode(&b); err != nil {
			return err
		}
		out = append(out, b)
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("list bills: %w", err)
	}
	return out, nil
}

// scanAll calls visit for every row with the prefix, in the order of keys.
func (l *Ledger) scanAll(ctx context.Context, prefix string, visit func(table.Row) error) error {
	after := ""
	for {
		rows, err := l.Scan(ctx, prefix, after, scanPageSize)
		if err != nil {
			return err
		}
		for _, r := range rows {
			if err := visit(r); err != nil {
				return err
			}
		}
		if len(rows) < scanPageSize {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

// retryable reports whether the operation may be retried after the rows have been read
// again.
func retryable(err error) bool {
	var conflict *table.ConflictError
	return errors.As(err, &conflict) || errors.Is(err, table.ErrUnknownOutcome)
}
