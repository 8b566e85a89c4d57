package load

import (
	"context"
	"fmt"
	"sync"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/platform/table"
)

// ledgerView is the all-knowing ledger: what is granted less what the callers'
// own requests use or may use at worst.
type ledgerView struct {
	ledger     *ledger.Ledger
	workspaces []Workspace

	mu        sync.Mutex       // guards remaining
	remaining map[string]int64 // tokens by budget
}

func newLedgerView(platform string, workspaces []Workspace) *ledgerView {
	client := &table.Client{Addr: platform, HTTP: &fasthttp.Client{MaxIdemponentCallAttempts: 1}}
	return &ledgerView{
		ledger:     &ledger.Ledger{Holder: "load", Commit: client.Commit, Get: client.Get, Scan: client.Scan},
		workspaces: workspaces,
		remaining:  make(map[string]int64),
	}
}

// read takes the remaining tokens from the table.
func (v *ledgerView) read(ctx context.Context) error {
	for _, w := range v.workspaces {
		list, err := v.ledger.List(ctx, w.Name)
		if err != nil {
			return fmt.Errorf("list budgets of workspace %q: %w", w.Name, err)
		}
		v.mu.Lock()
		for _, b := range list {
			v.remaining[b.ID.Name] = b.Row.Granted - b.Spent
		}
		v.mu.Unlock()
	}
	return nil
}

func (v *ledgerView) reserve(budget string, worst int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.remaining[budget] -= worst
}

func (v *ledgerView) settle(budget string, worst, used int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.remaining[budget] += worst - used
}

// room returns what is left beside the worst cases of all requests in flight.
func (v *ledgerView) room(budget string) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.remaining[budget]
}
