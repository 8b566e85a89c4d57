package allotment

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/platform/table"
)

// assertListed calls ListBudgets n times and asserts that each call returns the one budget.
func assertListed(t *testing.T, m *Manager, n int) {
	t.Helper()
	for range n {
		ids, err := m.ListBudgets(t.Context(), "gorenjska")
		assert.NilError(t, err)
		assert.DeepEqual(t, ids, []ledger.BudgetID{{Workspace: "gorenjska", Name: "flitch"}})
	}
}

func TestBudgetsInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tableDown := false
		scans := 0
		m := &Manager{Ledger: &ledger.Ledger{
			Scan: func(context.Context, string, string, int) ([]table.Row, error) {
				scans++
				if tableDown {
					return nil, table.ErrUnavailable
				}
				return []table.Row{{Location: table.Location{Key: "budget/gorenjska/flitch"}, Version: 1, Value: []byte("{}")}}, nil
			},
		}}
		assertListed(t, m, 1)
		tableDown = true
		time.Sleep(maxListAge)
		assertListed(t, m, 10)
		assert.Equal(t, scans, 2, "the table is asked again by each request")
		tableDown = false
		time.Sleep(maxListAge)
		assertListed(t, m, 1)
		assert.Equal(t, scans, 3, "the table is not asked again after the outage")
	})
}
