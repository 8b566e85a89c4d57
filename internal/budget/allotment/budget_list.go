package allotment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"rosevalve/internal/budget/ledger"
)

// maxListAge is the age at which a workspace's list of budgets is read from the table again.
const maxListAge = 2 * time.Second

// budgetListCache caches the lists of budgets by workspace.
type budgetListCache struct {
	mu    sync.Mutex // guards lists
	lists map[string]budgetList
}

type budgetList struct {
	ids       []ledger.BudgetID
	queriedAt time.Time // time of the last read, whether or not it succeeded
}

// ListBudgets returns the workspace's budgets in the order of use, from a cache that is
// refreshed every maxListAge. If the table does not answer, it returns the last list
// that was read, or an error if there was no earlier read.
func (m *Manager) ListBudgets(ctx context.Context, workspace string) ([]ledger.BudgetID, error) {
	m.listCache.mu.Lock()
	list, cached := m.listCache.lists[workspace]
	m.listCache.mu.Unlock()
	if cached && time.Since(list.queriedAt) < maxListAge {
		return list.ids, nil
	}
	ids, err := m.Ledger.Budgets(ctx, workspace)
	switch {
	case err == nil:
	case cached:
		ids = list.ids
	default:
		return nil, fmt.Errorf("find budgets: %w", err)
	}
	m.listCache.mu.Lock()
	defer m.listCache.mu.Unlock()
	if m.listCache.lists == nil {
		m.listCache.lists = make(map[string]budgetList)
	}
	m.listCache.lists[workspace] = budgetList{ids: ids, queriedAt: time.Now()}
	return ids, nil
}
