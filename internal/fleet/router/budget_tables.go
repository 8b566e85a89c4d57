package router

import (
	"context"
	"fmt"

	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/workspace/operator"
)

// addBudgetCommands adds the operator commands on holdings and usage to the executor.
func (r *Router) addBudgetCommands() {
	r.executor.Holdings = r.holdingTable
	r.executor.ReleaseHolding = r.releaseHolding
	r.executor.Usage = r.usageTable
}

// holdingTable returns a table of the holdings of all routers, or only of those in
// doubt: holdings of suspected routers that cannot be closed or removed yet.
func (r *Router) holdingTable(ctx context.Context, inDoubt bool) (operator.Table, error) {
	t := operator.Table{Columns: []operator.Column{
		{Name: "holding"},
		{Name: "holder"},
		{Name: "witness"},
		{Name: "drawn", Unit: operator.UnitTokens},
		{Name: "billed", Unit: operator.UnitTokens},
		{Name: "open", Unit: operator.UnitNumber},
		{Name: "doubt"},
	}}
	causes := make(map[ledger.HoldingID]string)
	inDoubtHoldings, err := r.reclaimer.InDoubt(ctx)
	if err != nil {
		return t, fmt.Errorf("list doubts: %w", err)
	}
	for _, d := range inDoubtHoldings {
		causes[d.Holding()] = d.Cause().String()
	}
	err = r.ledger.Holdings(ctx, "", func(h ledger.HoldingRow) error {
		cause, isInDoubt := causes[h.ID()]
		if inDoubt && !isInDoubt {
			return nil
		}
		t.Rows = append(t.Rows, []operator.Cell{
			operator.TextCell(h.ID().String()),
			operator.TextCell(h.Holder),
			operator.TextCell(h.Term.Witness),
			operator.NumberCell(h.Drawn),
			operator.NumberCell(h.Billed),
			operator.NumberCell(int64(len(h.OpenEntries))),
			operator.TextCell(cause),
		})
		return nil
	})
	return t, err
}

// releaseHolding returns a holding of a suspected router to its budget on behalf of an
// operator. A retry has no effect: a holding that does not exist is not an error.
func (r *Router) releaseHolding(ctx context.Context, name, _ string) error {
	id, ok := ledger.ParseHoldingID(name)
	if !ok {
		return fmt.Errorf("%q is not a holding; its id has the form workspace/budget/name", name)
	}
	row, found, err := r.ledger.Holding(ctx, id)
	if err != nil {
		return fmt.Errorf("release holding: %w", err)
	}
	if !found {
		return nil
	}
	if !r.reclaimer.IsSuspected(row.Holder) {
		return fmt.Errorf("router %q of holding %q is alive", row.Holder, name)
	}
	_, err = r.ledger.ReleaseHolding(ctx, id)
	return err
}

// usageTable returns the requests and tokens billed per workspace, budget and day, for
// one workspace or for all if workspace is empty.
func (r *Router) usageTable(ctx context.Context, workspace string) (operator.Table, error) {
	t := operator.Table{Columns: []operator.Column{
		{Name: "workspace"},
		{Name: "budget"},
		{Name: "day"},
		{Name: "requests", Unit: operator.UnitNumber},
		{Name: "prompt_tokens", Unit: operator.UnitTokens},
		{Name: "completion_tokens", Unit: operator.UnitTokens},
	}}
	usage, err := r.ledger.Usage(ctx, workspace)
	if err != nil {
		return operator.Table{}, fmt.Errorf("read usage: %w", err)
	}
	for _, u := range usage {
		t.Rows = append(t.Rows, []operator.Cell{
			operator.TextCell(u.Budget.Workspace),
			operator.TextCell(u.Budget.Name),
			operator.TextCell(u.Day),
			operator.NumberCell(u.Requests),
			operator.NumberCell(u.PromptTokens),
			operator.NumberCell(u.CompletionTokens),
		})
	}
	return t, nil
}
