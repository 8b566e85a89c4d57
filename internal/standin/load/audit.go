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

// Audit is the result of comparing the outcomes that callers observed with the
// bills in the table and the run counts of the targets. Every count except Bills
// and BilledTokens is zero if the fleet is correct.
type Audit struct {
	// Bills is the number of bills of the workspaces under load.
	Bills int64 `json:"bills"`
	// BilledTokens is the number of tokens on these bills.
	BilledTokens int64 `json:"billed_tokens"`
	// Overspend is the number of tokens billed beyond the granted amounts, over all budgets.
	Overspend int64 `json:"overspend"`
	// BillsDisagree is the absolute difference, in tokens, between the bills of a
	// budget and the spending recorded in the budget, summed over all budgets.
	BillsDisagree int64 `json:"bills_disagree"`
	// AnsweredUnbilled is the number of answered requests without a bill.
	AnsweredUnbilled int64 `json:"answered_unbilled"`
	// RefusedBilled is the number of requests refused as "not_run" that have a bill.
	RefusedBilled int64 `json:"refused_billed"`
	// RefusedRan is the number of requests refused as "not_run" that an engine has run.
	RefusedRan int64 `json:"refused_ran"`
	// CallsRepeated is the number of non-idempotent service calls that ran more than once.
	CallsRepeated int64 `json:"calls_repeated"`
}

// audit performs one comparison; bills that have not yet reached the table count
// as missing.
func (l *Load) audit(ctx context.Context) (Audit, error) {
	var out Audit
	billed := make(map[string]bool)
	tokensByBudget := make(map[ledger.BudgetID]int64)
	for _, w := range l.Workspaces {
		bills, err := l.oracle.ledger.Bills(ctx, w.Name)
		if err != nil {
			return out, fmt.Errorf("read bills: %w", err)
		}
		for _, b := range bills {
			out.Bills++
			out.BilledTokens += b.Tokens()
			billed[b.Workspace+"/"+b.RequestKey] = true
			tokensByBudget[ledger.BudgetID{Workspace: b.Workspace, Name: b.Budget}] += b.Tokens()
		}
	}
	if err := l.auditBudgets(ctx, tokensByBudget, &out); err != nil {
		return out, err
	}
	runs, err := l.startedRuns()
	if err != nil {
		return out, err
	}
	for _, o := range l.recorder.outcomes {
		hasBill := billed[o.request.workspace.Name+"/"+o.request.key]
		if o.answered && !hasBill {
			out.AnsweredUnbilled++
		}
		if !o.answered && o.runState == "not_run" {
			if hasBill {
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

// auditBudgets adds the overspend and the billing differences of all budgets to
// out; billed holds the number of tokens on the bills of each budget.
func (l *Load) auditBudgets(ctx context.Context, billed map[ledger.BudgetID]int64, out *Audit) error {
	for _, w := range l.Workspaces {
		list, err := l.oracle.ledger.List(ctx, w.Name)
		if err != nil {
			return fmt.Errorf("read budgets: %w", err)
		}
		for _, b := range list {
			out.Overspend += max(0, billed[b.ID]-b.Row.Granted)
			out.BillsDisagree += max(billed[b.ID]-b.Spent, b.Spent-billed[b.ID])
		}
	}
	return nil
}

// startedRuns returns the ids of the requests of which an engine has started at
// least one attempt.
func (l *Load) startedRuns() (map[string]bool, error) {
	out := make(map[string]bool)
	for _, addr := range l.Engines {
		var counts engine.Counts
		if err := getJSON("http://"+addr+"/counts", &counts); err != nil {
			return nil, fmt.Errorf("read counts of engine %s: %w", addr, err)
		}
		for id := range counts.Runs {
			// Attempts after the first append "." and their number to the request id.
			requestID, _, _ := strings.Cut(id, ".")
			out[requestID] = true
		}
	}
	return out, nil
}

// repeatedCalls returns the number of service calls that ran more than once,
// counted over all targets of the service.
func (l *Load) repeatedCalls() (int64, error) {
	runsByPath := make(map[string]int)
	for _, addr := range l.Services {
		var counts map[string]int
		if err := getJSON("http://"+addr+"/counts/paths", &counts); err != nil {
			return 0, fmt.Errorf("read counts of service %s: %w", addr, err)
		}
		for path, n := range counts {
			runsByPath[path] += n
		}
	}
	var out int64
	for _, n := range runsByPath {
		if n > 1 {
			out++
		}
	}
	return out, nil
}

func getJSON(url string, out any) error {
	_, body, err := fasthttp.GetTimeout(nil, url, queryTimeout)
	if err != nil {
		return fmt.Errorf("get: %w", err)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}
