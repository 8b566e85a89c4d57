package reclaim

import (
	"fmt"
	"strings"

	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/platform/table"
)

// accounts are the rows of the ledger as the table has them.
type accounts struct {
	budgets  map[ledger.BudgetID]ledger.BudgetRow
	holdings []ledger.HoldingRow
	bills    map[string]ledger.BillRow // by request key
}

func (w *world) accounts() accounts {
	out := accounts{budgets: make(map[ledger.BudgetID]ledger.BudgetRow), bills: make(map[string]ledger.BillRow)}
	for _, r := range w.store.Scan("", "", 1<<20) {
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

func (a *accounts) addBill(r table.Row) error {
	var b ledger.BillRow
	err := r.Decode(&b)
	a.bills[b.RequestKey] = b
	return err
}

// check is the oracle for every moment: the accounts add up, and what is billed
// and what may still be billed fits into what was granted.
func (w *world) check() error {
	a := w.accounts()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range budgets {
		if err := w.checkBudget(a, id); err != nil {
			return fmt.Errorf("budget %s: %w", id.Name, err)
		}
	}
	return nil
}

func (w *world) checkBudget(a accounts, id ledger.BudgetID) error {
	budget := a.budgets[id]
	var drawn, billed, rows, unbilled int64
	for _, h := range a.holdings {
		if h.ID().Budget == id {
			drawn += h.Drawn
			billed += h.Billed
		}
	}
	for _, b := range a.bills {
		if b.Budget == id.Name {
			rows += b.Tokens()
		}
	}
	worst := make(map[string]int64)
	for _, run := range w.runs {
		if run.id != id {
			continue
		}
		n := run.used
		if !run.over {
			n = run.max
		}
		worst[run.key] = max(worst[run.key], n)
	}
	for key, n := range worst {
		if _, ok := a.bills[key]; !ok {
			unbilled += n
		}
	}
	switch {
	case drawn != budget.Allotted:
		return fmt.Errorf("holdings have drawn %d, but %d are allotted", drawn, budget.Allotted)
	case rows != billed+budget.Billed:
		return fmt.Errorf("bills are %d, but %d+%d are accounted", rows, billed, budget.Billed)
	case budget.Available() < 0:
		return fmt.Errorf("budget is overdrawn: %+v", budget)
	case rows+unbilled > w.granted[id]:
		return fmt.Errorf("billed %d and may bill %d of %d granted", rows, unbilled, w.granted[id])
	}
	return nil
}

// checkBills is the oracle for the end: each key that ran is billed once, for what
// one of its runs used, and no other key is. Runs of routers that died together
// with all evidence are excused.
func (w *world) checkBills(excused map[string]bool) error {
	a := w.accounts()
	ran := make(map[string]bool)
	for id, run := range w.runs {
		ran[run.key] = true
		bill, ok := a.bills[run.key]
		if !ok && run.used > 0 && !excused[run.node.id] {
			return fmt.Errorf("run %s of key %q is not billed", id, run.key)
		}
		if ok && bill.RequestID == id && bill.Tokens() != run.used {
			return fmt.Errorf("run %s used %d, but %d are billed", id, run.used, bill.Tokens())
		}
	}
	for key, bill := range a.bills {
		if !ran[key] || w.runs[bill.RequestID] == nil {
			return fmt.Errorf("key %q is billed by run %s, which did not run", key, bill.RequestID)
		}
	}
	return nil
}
