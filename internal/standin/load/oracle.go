package load

import (
	"context"
	"fmt"
	"sync"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/head"
)

// budgetOracle tracks the tokens remaining in each budget with full knowledge of
// all requests of the load test: the granted tokens less those used and those that
// requests in flight use in the worst case. A budget refusal counts as false if
// the oracle has no deficit.
type budgetOracle struct {
	ledger     *ledger.Ledger
	workspaces []Workspace

	mu        sync.Mutex       // guards remaining
	remaining map[string]int64 // tokens by budget name
}

// newBudgetOracle returns an oracle that reads the table at the platform address.
func newBudgetOracle(platform string, workspaces []Workspace) *budgetOracle {
	client := &table.Client{Addr: platform, HTTP: &fasthttp.Client{DialTimeout: head.Dial, MaxIdemponentCallAttempts: 1}}
	return &budgetOracle{
		ledger:     &ledger.Ledger{Holder: "load", Commit: client.Commit, Get: client.Get, Scan: client.Scan},
		workspaces: workspaces,
		remaining:  make(map[string]int64),
	}
}

// readBalances sets the remaining tokens from the table.
func (o *budgetOracle) readBalances(ctx context.Context) error {
	for _, w := range o.workspaces {
		list, err := o.ledger.List(ctx, w.Name)
		if err != nil {
			return fmt.Errorf("list budgets of workspace %q: %w", w.Name, err)
		}
		o.mu.Lock()
		for _, b := range list {
			o.remaining[b.ID.Name] = b.Row.Granted - b.Spent
		}
		o.mu.Unlock()
	}
	return nil
}

// reserve deducts the worst case of a request, in tokens.
func (o *budgetOracle) reserve(budget string, tokens int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.remaining[budget] -= tokens
}

// settle replaces a reservation by the tokens that the request used.
func (o *budgetOracle) settle(budget string, reserved, used int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.remaining[budget] += reserved - used
}

// available returns the tokens left after all reservations; it is negative if
// these exceed the budget.
func (o *budgetOracle) available(budget string) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.remaining[budget]
}
