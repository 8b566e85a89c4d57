package allotment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"rosevalve/internal/budget/ledger"
)

// listAge is how long a workspace's list of budgets is used before the table is asked again.
const listAge = 2 * time.Second

// budgetLists caches which budgets a workspace has.
type budgetLists struct {
	mu    sync.Mutex // guards lists
	lists map[string]budgetList
}

type budgetList struct {
	ids   []ledger.BudgetID
	asked time.Time // when the table was last asked, whether or not it answered
}

// Budgets returns the workspace's budgets, at most a few seconds old while the
// table answers and as last read while it does not.
func (p *Purse) Budgets(ctx context.Context, workspace string) ([]ledger.BudgetID, error) {
	p.lists.mu.Lock()
	list, known := p.lists.lists[workspace]
	p.lists.mu.Unlock()
	if known && time.Since(list.asked) < listAge {
		return list.ids, nil
	}
	ids, err := p.Ledger.Budgets(ctx, workspace)
	switch {
	case err == nil:
	case known:
		ids = list.ids
	default:
		return nil, fmt.Errorf("find budgets: %w", err)
	}
	p.lists.mu.Lock()
	defer p.lists.mu.Unlock()
	if p.lists.lists == nil {
		p.lists.lists = make(map[string]budgetList)
	}
	p.lists.lists[workspace] = budgetList{ids: ids, asked: time.Now()}
	return ids, nil
}
