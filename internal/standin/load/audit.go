package load

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/standin/engine"
)

// Audit compares what callers saw with the table and the targets; each count should be zero but the first two.
type Audit struct {
	Bills        int64 `json:"bills"`
	BilledTokens int64 `json:"billed_tokens"`
	// Overspend is the sum of the tokens billed beyond what was granted.
	Overspend int64 `json:"overspend"`
	// BillsDisagree is the difference between the bills and the sums of their budgets.
	BillsDisagree int64 `json:"bills_disagree"`
	// AnsweredUnbilled are answered requests without a bill.
	AnsweredUnbilled int64 `json:"answered_unbilled"`
	// RefusedBilled are requests refused as not run that have a bill.
	RefusedBilled int64 `json:"refused_billed"`
	// RefusedRan are requests refused as not run that a target has run.
	RefusedRan int64 `json:"refused_ran"`
	// CallsRepeated are non-idempotent calls that ran more than once.
	CallsRepeated int64 `json:"calls_repeated"`
}

func (l *Load) audit(ctx context.Context) (Audit, error) {
	var out Audit
	billed := make(map[string]bool)
	byBudget := make(map[ledger.BudgetID]int64)
	for _, w := range l.Workspaces {
		bills, err := l.ledger.ledger.Bills(ctx, w.Name)
		if err != nil {
			return out, fmt.Errorf("read bills: %w", err)
		}
		for _, b := range bills {
			out.Bills++
			out.BilledTokens += b.Tokens()
			billed[b.Workspace+"/"+b.RequestKey] = true
			byBudget[ledger.BudgetID{Workspace: b.Workspace, Name: b.Budget}] += b.Tokens()
		}
	}
	if err := l.auditBudgets(ctx, byBudget, &out); err != nil {
		return out, err
	}
	runs, err := l.engineRuns()
	if err != nil {
		return out, err
	}
	for _, o := range l.measures.outcomes {
		has := billed[o.request.workspace.Name+"/"+o.request.key]
		if o.answered && !has {
			out.AnsweredUnbilled++
		}
		if !o.answered && o.run == "not_run" {
			if has {
				out.RefusedBilled++
			}
			if o.requestID != "" && runs[o.requestID] {
				out.RefusedRan++
			}
		}
	}
	out.CallsRepeated, err = l.repeatedCalls()
	return out, err
}

func (l *Load) auditBudgets(ctx context.Context, bills map[ledger.BudgetID]int64, out *Audit) error {
	for _, w := range l.Workspaces {
		list, err := l.ledger.ledger.List(ctx, w.Name)
		if err != nil {
			return fmt.Errorf("read budgets: %w", err)
		}
		for _, b := range list {
			out.Overspend += max(0, bills[b.ID]-b.Row.Granted)
			out.BillsDisagree += max(bills[b.ID]-b.Spent, b.Spent-bills[b.ID])
		}
	}
	return nil
}

// engineRuns returns the ids of the requests that the engines have run in any attempt.
func (l *Load) engineRuns() (map[string]bool, error) {
	out := make(map[string]bool)
	for _, addr := range l.Engines {
		var counts engine.Counts
		if err := getJSON("http://"+addr+"/counts", &counts); err != nil {
			return nil, fmt.Errorf("counts of engine %s: %w", addr, err)
		}
		for id := range counts.Runs {
			base, _, _ := strings.Cut(id, ".")
			out[base] = true
		}
	}
	return out, nil
}

// repeatedCalls counts the calls that ran more than once over all targets of the service.
func (l *Load) repeatedCalls() (int64, error) {
	sums := make(map[string]int)
	for _, addr := range l.Services {
		var counts map[string]int
		if err := getJSON("http://"+addr+"/counts/paths", &counts); err != nil {
			return 0, fmt.Errorf("counts of service %s: %w", addr, err)
		}
		for path, n := range counts {
			sums[path] += n
		}
	}
	var out int64
	for _, n := range sums {
		if n > 1 {
			out++
		}
	}
	return out, nil
}

func getJSON(url string, out any) error {
	_, body, err := fasthttp.GetTimeout(nil, url, dialTimeout)
	if err != nil {
		return fmt.Errorf("get: %w", err)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}
