package operator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/workspace/catalogue"
)

const (
	budgetKind = "budget"
	maxTokens  = 1 << 50
)

// audited runs an action between two records in the audit trail; without the first one it does not run.
func (e *Executor) audited(ctx context.Context, cmd command, act func() error) error {
	record := catalogue.Record{
		At:        time.Now().UTC(),
		Operator:  cmd.operator,
		Command:   Redact(cmd.Command),
		CommandID: cmd.CommandID,
		Outcome:   catalogue.OutcomeStarted,
	}
	if err := e.Catalogue.Record(ctx, record); err != nil {
		return err
	}
	err := act()
	record.Outcome = catalogue.OutcomeDone
	if err != nil {
		record.Outcome = err.Error()
	}
	if recordErr := e.Catalogue.Record(ctx, record); recordErr != nil && err == nil {
		return fmt.Errorf("command took effect, but its record says %q: %w", catalogue.OutcomeStarted, recordErr)
	}
	return err
}

// budgetPlan reads the end, a day in UTC that is not used any more, and the spread of a budget.
func budgetPlan(set *settings) (ledger.Plan, error) {
	var plan ledger.Plan
	var ends, spread string
	var err error
	if pos, ok := set.text("ends", &ends); ok {
		if plan.Ends, err = time.Parse(time.DateOnly, ends); err != nil {
			return plan, errorf(pos, "end %q is not a day like \"2026-12-31\"", ends)
		}
	}
	if pos, ok := set.text("spread", &spread); ok {
		if plan.Spread, err = ledger.ParseSpread(spread); err != nil {
			return plan, errorf(pos, "%v", err)
		}
	}
	return plan, nil
}

func (e *Executor) createBudget(ctx context.Context, cmd command, s *ChangeStatement) (Result, error) {
	set, err := newSettings(s.Settings)
	if err != nil {
		return Result{}, err
	}
	id := ledger.BudgetID{Name: s.Name}
	tokens := int64(0)
	pos, _ := set.text("workspace", &id.Workspace)
	set.number("tokens", 0, maxTokens, &tokens)
	plan, planErr := budgetPlan(set)
	if err := set.finish("workspace, tokens, ends, spread"); err != nil {
		return Result{}, err
	}
	if planErr != nil {
		return Result{}, planErr
	}
	if s.Name == "" || len(s.Name) > maxChars || strings.ContainsAny(s.Name, "/ \t\n\"") {
		return Result{}, errorf(s.Pos, "name %q is empty, too long, or has a slash, a space or a quote", s.Name)
	}
	if err := e.Catalogue.Refresh(ctx); err != nil {
		return Result{}, fmt.Errorf("read configuration: %w", err)
	}
	if _, ok := e.Catalogue.Current().Workspace(id.Workspace); !ok {
		if pos.Line == 0 {
			return Result{}, errorf(s.Pos, "budget %q needs a workspace", s.Name)
		}
		return Result{}, errorf(pos, "workspace %q does not exist", id.Workspace)
	}
	err = e.audited(ctx, cmd, func() error { return e.Ledger.CreatePlanned(ctx, id, tokens, plan, cmd.CommandID) })
	if err != nil {
		return Result{}, fmt.Errorf("execute command: %w", err)
	}
	return Result{Message: fmt.Sprintf("budget %q created with %d tokens", id, tokens)}, nil
}

func (e *Executor) topUp(ctx context.Context, cmd command, s *TopUpStatement) (Result, error) {
	if s.Tokens <= 0 || s.Tokens > maxTokens {
		return Result{}, errorf(s.Pos, "%d is not a number of tokens from 1 to %d", s.Tokens, int64(maxTokens))
	}
	id := ledger.BudgetID{Workspace: s.Workspace, Name: s.Name}
	err := e.audited(ctx, cmd, func() error { return e.Ledger.TopUp(ctx, id, s.Tokens, cmd.CommandID) })
	if err != nil {
		return Result{}, fmt.Errorf("execute command: %w", err)
	}
	return Result{Message: fmt.Sprintf("budget %q topped up by %d tokens", id, s.Tokens)}, nil
}

func (e *Executor) order(ctx context.Context, cmd command, s *OrderStatement) (Result, error) {
	if e.Order == nil {
		return Result{}, errNotConnected("how to give orders to targets")
	}
	t, ok := e.Catalogue.Current().Target(s.Target)
	if !ok {
		return Result{}, errorf(s.Pos, "target %q does not exist", s.Target)
	}
	err := e.audited(ctx, cmd, func() error { return e.Order(ctx, s.Target, t.ChecksFencing, s.Action) })
	if err != nil {
		return Result{}, fmt.Errorf("order target %q: %w", s.Target, err)
	}
	return Result{Message: fmt.Sprintf("target %q has carried out %q", s.Target, s.Action)}, nil
}

func (e *Executor) releaseTarget(ctx context.Context, cmd command, s *ReleaseStatement) (Result, error) {
	if e.ReleaseTarget == nil {
		return Result{}, errNotConnected("who holds targets")
	}
	if !s.Confirmed {
		return Result{}, fmt.Errorf("an order to target %q may still be carried out; if its router is surely gone, add: confirmed", s.Name)
	}
	err := e.audited(ctx, cmd, func() error { return e.ReleaseTarget(ctx, s.Name) })
	if err != nil {
		return Result{}, fmt.Errorf("release target %q: %w", s.Name, err)
	}
	return Result{Message: fmt.Sprintf("target %q released", s.Name)}, nil
}

func (e *Executor) release(ctx context.Context, cmd command, s *ReleaseStatement) (Result, error) {
	if e.Release == nil {
		return Result{}, errNotConnected("how to release holdings")
	}
	if !s.Confirmed {
		return Result{}, fmt.Errorf("what holding %q has spent unseen would be spent again; if its router is surely gone, add: confirmed", s.Name)
	}
	err := e.audited(ctx, cmd, func() error { return e.Release(ctx, s.Name, cmd.CommandID) })
	if err != nil {
		return Result{}, fmt.Errorf("release holding %q: %w", s.Name, err)
	}
	return Result{Message: fmt.Sprintf("holding %q released", s.Name)}, nil
}

func (e *Executor) cancel(ctx context.Context, cmd command, s *RequestStatement) (Result, error) {
	if e.Cancel == nil {
		return Result{}, errNotConnected("how to cancel requests")
	}
	err := e.audited(ctx, cmd, func() error { return e.Cancel(ctx, s.ID) })
	if err != nil {
		return Result{}, fmt.Errorf("cancel request %q: %w", s.ID, err)
	}
	return Result{Message: fmt.Sprintf("request %q cancelled", s.ID)}, nil
}
