package ledger

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"rosevalve/internal/platform/table"
)

// Usage is the sum of the bills of a budget on one day, in UTC.
type Usage struct {
	Budget           BudgetID
	Day              string // in the format of time.DateOnly
	Requests         int64
	PromptTokens     int64
	CompletionTokens int64
}

// Usage returns the sums of the bills of a workspace by budget and day, in this order. An
// empty workspace stands for all workspaces.
//
// It reads every bill, which costs one scan of the table for every few hundred bills.
func (l *Ledger) Usage(ctx context.Context, workspace string) ([]Usage, error) {
	prefix := billPrefix
	if workspace != "" {
		prefix += workspace + "/"
	}
	type key struct {
		budget BudgetID
		day    string
	}
	sums := make(map[key]*Usage)
	err := l.scanAll(ctx, prefix, func(r table.Row) error {
		var b BillRow
		if err := r.Decode(&b); err != nil {
			return err
		}
		k := key{budget: BudgetID{Workspace: b.Workspace, Name: b.Budget}, day: b.BilledAt.UTC().Format(time.DateOnly)}
		u, ok := sums[k]
		if !ok {
			u = &Usage{Budget: k.budget, Day: k.day}
			sums[k] = u
		}
		u.Requests++
		u.PromptTokens += b.PromptTokens
		u.CompletionTokens += b.CompletionTokens
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("sum usage: %w", err)
	}
	out := make([]Usage, 0, len(sums))
	for _, u := range sums {
		out = append(out, *u)
	}
	slices.SortFunc(out, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(a.Budget.String(), b.Budget.String()), cmp.Compare(a.Day, b.Day))
	})
	return out, nil
}
