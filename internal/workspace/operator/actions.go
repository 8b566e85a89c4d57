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
	budgetKind = "budget" // a kind of create, kept in the ledger instead of the catalogue
	// maxBudgetTokens bounds the tokens of one create or top up.
	maxBudgetTokens = 1 << 50
)

// runAudited runs an action that changes no configuration and records it in the
// audit trail before it starts and after it ends. The action does not run if the
// first record can not be written.
func (e *Executor) runAudited(ctx context.Context, cmd command, action func() error) error {
	record := catalogue.AuditRecord{
		At:        time.Now().UTC(),
		Operator:  cmd.operator,
		Command:   Redact(cmd.Command),
		CommandID: cmd.CommandID,
		Outcome:   catalogue.OutcomeStarted,
	}
	if err := e.Catalogue.WriteAudit(ctx, record); err != nil {
		return err
	}
	err := action()
	record.Outcome = catalogue.OutcomeDone
	if err != nil {
		record.Outcome = err.Error()
	}
	if recordErr := e.Catalogue.WriteAudit(ctx, record); recordErr != nil && err == nil {
		return fmt.Errorf("command took effect, but its record says %q: %w", catalogue.OutcomeStarted, recordErr)
	}
	return err
}

// parseBudgetPlan returns the plan given by the settings ends and spread. The
// value of ends is a date; the budget expires at the start of that day in UTC.
func parseBudgetPlan(settings *settingReader) (ledger.BudgetSettings, error) {
	var plan ledger.BudgetSettings
	var ends, spread string
	var err error
	if pos, ok := settings.text("ends", &ends); ok {
		if plan.EndsAt, err = time.Parse(time.DateOnly, ends); err != nil {
			return plan, errorf(pos, "end %q is not a day like \"2026-12-31\"", ends)
		}
	}
	if pos, ok := settings.text("spread", &spread); ok {
		if plan.Spread, err = ledger.ParseSpread(spread); err != nil {
			return plan, errorf(pos, "%v", err)
		}
	}
	return plan, nil
}

// createBudget creates a budget with a first grant of tokens in the ledger.
func (e *Executor) createBudget(ctx context.Context, cmd command, s *ChangeStatement) (Result, error) {
	settings, err := newSettingReader(s.Settings)
	if err != nil {
		return Result{}, err
	}
	id := ledger.BudgetID{Name: s.Name}
	tokens := int64(0)
	pos, _ := settings.text("workspace", &id.Workspace)
	settings.number("tokens", 0, maxBudgetTokens, &tokens)
	plan, planErr := parseBudgetPlan(settings)
	if err := settings.finish("workspace, tokens, ends, spread"); err != nil {
		return Result{}, err
	}
	if planErr != nil {
		return Result{}, planErr
	}
	if s.Name == "" || len(s.Name) > maxTextLen || strings.ContainsAny(s.Name, "/ \t\n\"") {
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
	err = e.runAudited(ctx, cmd, func() error { return e.Ledger.CreateWithSettings(ctx, id, tokens, plan, cmd.CommandID) })
	if err != nil {
		return Result{}, fmt.Errorf("execute command: %w", err)
	}
	return Result{Message: fmt.Sprintf("budget %q created with %d tokens", id, tokens)}, nil
}

// topUp adds tokens to a budget.
func (e *Executor) topUp(ctx context.Context, cmd command, s *TopUpStatement) (Result, error) {
	if s.Tokens <= 0 || s.Tokens > maxBudgetTokens {
		return Result{}, errorf(s.Pos, "%d is not a number of tokens from 1 to %d", s.Tokens, int64(maxBudgetTokens))
	}
	id := ledger.BudgetID{Workspace: s.Workspace, Name: s.Name}
	err := e.runAudited(ctx, cmd, func() error { return e.Ledger.TopUp(ctx, id, s.Tokens, cmd.CommandID) })
	if err != nil {
		return Result{}, fmt.Errorf("execute command: %w", err)
	}
	return Result{Message: fmt.Sprintf("budget %q topped up by %d tokens", id, s.Tokens)}, nil
}

// orderTarget sends an order to a target.
func (e *Executor) orderTarget(ctx context.Context, cmd command, s *OrderStatement) (Result, error) {
	if e.SendOrder == nil {
		return Result{}, errUnsupported("how to give orders to targets")
	}
	t, ok := e.Catalogue.Current().Target(s.Target)
	if !ok {
		return Result{}, errorf(s.Pos, "target %q does not exist", s.Target)
	}
	err := e.runAudited(ctx, cmd, func() error { return e.SendOrder(ctx, s.Target, t.ChecksFencingToken, s.Action) })
	if err != nil {
		return Result{}, fmt.Errorf("order target %q: %w", s.Target, err)
	}
	return Result{Message: fmt.Sprintf("target %q has carried out %q", s.Target, s.Action)}, nil
}

// releaseTarget ends a router's claim on a target. It requires the keyword
// confirmed because the target may still carry out an order of that router.
func (e *Executor) releaseTarget(ctx context.Context, cmd command, s *ReleaseStatement) (Result, error) {
	if e.ReleaseTarget == nil {
		return Result{}, errUnsupported("who holds targets")
	}
	if !s.Confirmed {
		return Result{}, fmt.Errorf("an order to target %q may still be carried out; if its router is surely gone, add: confirmed", s.Name)
	}
	err := e.runAudited(ctx, cmd, func() error { return e.ReleaseTarget(ctx, s.Name) })
	if err != nil {
		return Result{}, fmt.Errorf("release target %q: %w", s.Name, err)
	}
	return Result{Message: fmt.Sprintf("target %q released", s.Name)}, nil
}

// releaseHolding returns a holding in doubt to its budget. It requires the keyword
// confirmed because tokens that the router spent without billing them become
// available a second time.
func (e *Executor) releaseHolding(ctx context.Context, cmd command, s *ReleaseStatement) (Result, error) {
	if e.ReleaseHolding == nil {
		return Result{}, errUnsupported("how to release holdings")
	}
	if !s.Confirmed {
		return Result{}, fmt.Errorf("what holding %q has spent unseen would be spent again; if its router is surely gone, add: confirmed", s.Name)
	}
	err := e.runAudited(ctx, cmd, func() error { return e.ReleaseHolding(ctx, s.Name, cmd.CommandID) })
	if err != nil {
		return Result{}, fmt.Errorf("release holding %q: %w", s.Name, err)
	}
	return Result{Message: fmt.Sprintf("holding %q released", s.Name)}, nil
}

// cancelRequest ends a request in flight.
func (e *Executor) cancelRequest(ctx context.Context, cmd command, s *RequestStatement) (Result, error) {
	if e.CancelRequest == nil {
		return Result{}, errUnsupported("how to cancel requests")
	}
	err := e.runAudited(ctx, cmd, func() error { return e.CancelRequest(ctx, s.ID) })
	if err != nil {
		return Result{}, fmt.Errorf("cancel request %q: %w", s.ID, err)
	}
	return Result{Message: fmt.Sprintf("request %q cancelled", s.ID)}, nil
}
