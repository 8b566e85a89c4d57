package allotment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"rosevalve/internal/budget/ledger"
)

// listAge is how long a workspace's list of budgets is used before it is read again.
const listAge = 2 * time.Second

// budgetLists caches which budgets a workspace has.
type budgetLists struct {
	mu    sync.Mutex // guards lists
	lists map[string]budgetList
}

type budgetList struct {
	ids  []ledger.BudgetID
	read time.Time
}

// Budgets returns the workspace's budgets, at most a few seconds old while the
// table answers and as last read while it does not.
func (p *Purse) Budgets(ctx context.Context, workspace string) ([]ledger.BudgetID, error) {
	p.lists.mu.Lock()
	list, known := p.lists.lists[workspace]
	p.lists.mu.Unlock()
	if known && time.Since(list.read) < listAge {
		return list.ids, nil
	}
	ids, err := p.Ledger.Budgets(ctx, workspace)
	if err != nil {
		if known {
			return list.ids, nil
		}
		return nil, fmt.Errorf("find budgets: %w", err)
	}
	p.lists.mu.Lock()
	defer p.lists.mu.Unlock()
	if p.lists.lists == nil {
		p.lists.lists = make(map[string]budgetList)
	}
	p.lists.lists[workspace] = budgetList{ids: ids, read: time.Now()}
	return ids, nil
}
