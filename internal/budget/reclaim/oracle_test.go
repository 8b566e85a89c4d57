package reclaim

import (
	"fmt"
	"strings"

	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/platform/table"
)

// ledgerState is the content of the ledger's rows in the table.
type ledgerState struct {
	budgets  map[ledger.BudgetID]ledger.BudgetRow
	holdings []ledger.HoldingRow
	bills    map[string]ledger.BillRow // by request key
}

// readLedger decodes all rows of the table.
func (sim *simulation) readLedger() ledgerState {
	out := ledgerState{budgets: make(map[ledger.BudgetID]ledger.BudgetRow), bills: make(map[string]ledger.BillRow)}
	for _, r := range sim.store.Scan("", "", 1<<20) {
		var err error
		switch kind, id, _ := strings.Cut(r.Key, "/"); kind {
		case "budget":
			var b ledger.BudgetRow
			err = r.Decode(&b)
			workspace, name, _ := strings.Cut(id, "/")
			out.budgets[ledger.BudgetID{Workspace: workspace, Name: name}] = b
		case "holding":
			var h ledger.HoldingRow
			err = r.Decode(&h)
			out.holdings = append(out.holdings, h)
		case "bill":
			err = out.addBill(r)
		}
		if err != nil {
			panic(err)
		}
	}
	return out
}

func (s *ledgerState) addBill(r table.Row) error {
	var b ledger.BillRow
	err := r.Decode(&b)
	s.bills[b.RequestKey] = b
	return err
}

// check is the oracle after each step: the sums of the rows agree, and the billed
// tokens plus those that may still be billed do not exceed the granted tokens.
func (sim *simulation) check() error {
	state := sim.readLedger()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, id := range budgets {
		if err := sim.checkBudget(state, id); err != nil {
			return fmt.Errorf("budget %s: %w", id.Name, err)
		}
	}
	return nil
}

func (sim *simulation) checkBudget(state ledgerState, id ledger.BudgetID) error {
	budget := state.budgets[id]
	var drawn, billed, billRows, unbilled int64
	for _, h := range state.holdings {
		if h.ID().Budget == id {
			drawn += h.Drawn
			billed += h.Billed
		}
	}
	for _, b := range state.bills {
		if b.Budget == id.Name {
			billRows += b.Tokens()
		}
	}
	worstByKey := make(map[string]int64)
	for _, run := range sim.runs {
		if run.budget != id {
			continue
		}
		n := run.used
		if !run.ended {
			n = run.max
		}
		worstByKey[run.key] = max(worstByKey[run.key], n)
	}
	for key, n := range worstByKey {
		if _, ok := state.bills[key]; !ok {
			unbilled += n
		}
	}
	switch {
	case drawn != budget.Drawn:
		return fmt.Errorf("holdings have drawn %d tokens, but the budget has allotted %d", drawn, budget.Drawn)
	case billRows != billed+budget.Billed:
		return fmt.Errorf("bills sum to %d tokens, but holdings and budget record %d+%d", billRows, billed, budget.Billed)
	case budget.Available() < 0:
		return fmt.Errorf("budget is overdrawn: %+v", budget)
	case billRows+unbilled > sim.granted[id]:
		return fmt.Errorf("%d tokens billed and up to %d still to be billed, of %d granted", billRows, unbilled, sim.granted[id])
	}
	return nil
}

// checkBills is the oracle at the end of a case: each key that ran is billed once,
// for the usage of one of its runs, and no other key is billed. Runs of excusedHolders,
// which died together with all witness records, need no bill.
func (sim *simulation) checkBills(excusedHolders map[string]bool) error {
	state := sim.readLedger()
	ran := make(map[string]bool)
	for id, run := range sim.runs {
		ran[run.key] = true
		bill, ok := state.bills[run.key]
		if !ok && run.used > 0 && !excusedHolders[run.node.id] {
			return fmt.Errorf("run %s of key %q was not billed", id, run.key)
		}
		if ok && bill.RequestID == id && bill.Tokens() != run.used {
			return fmt.Errorf("run %s used %d tokens, but %d were billed", id, run.used, bill.Tokens())
		}
	}
	for key, bill := range state.bills {
		if !ran[key] || sim.runs[bill.RequestID] == nil {
			return fmt.Errorf("key %q was billed for run %s, which did not run", key, bill.RequestID)
		}
	}
	return nil
}
