package allotment_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rosevalve/internal/budget/allotment"
	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/platform/table"
	"rosevalve/internal/standin/platform"
)

// TestOutage checks that concurrent requests for a budget whose table is unavailable
// share one draw and fail in time.
func TestOutage(t *testing.T) {
	t.Run("one draw serves all who wait", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { assertOneDraw(t, 500*time.Millisecond, time.Second) })
	})
	t.Run("a table that never answers", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { assertOneDraw(t, time.Hour, time.Second) })
	})
}

// assertOneDraw sends concurrent requests while the table fails after delay, and checks
// that all fail after one draw, within limit, and that a later request fails too.
func assertOneDraw(t *testing.T, delay, limit time.Duration) {
	t.Helper()
	var draws atomic.Int64
	m := &allotment.Manager{Ledger: &ledger.Ledger{Get: func(ctx context.Context, _ ...string) ([]table.Row, error) {
		draws.Add(1)
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
		return nil, table.ErrUnavailable
	}}}
	start := time.Now()
	var wait sync.WaitGroup
	for range 100 {
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err := m.Reserve(ctx, id(0), 10)
			assert.Check(t, err != nil)
		})
	}
	wait.Wait()
	assert.Check(t, time.Since(start) <= limit)
	assert.Equal(t, draws.Load(), int64(1))
	_, err := m.Reserve(context.Background(), id(0), 10)
	assert.Check(t, err != nil)
}

// TestPlans checks that a workspace's budgets are listed by their end, and that a budget
// that has ended is neither listed nor reserved from.
func TestPlans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.NewStore()
		l := &ledger.Ledger{
			Holder: "r",
			Commit: func(_ context.Context, c table.Commit) (uint64, error) { return store.Commit(c) },
			Get:    func(_ context.Context, keys ...string) ([]table.Row, error) { return store.Get(keys), nil },
			Scan: func(_ context.Context, prefix, after string, limit int) ([]table.Row, error) {
				return store.Scan(prefix, after, limit), nil
			},
		}
		ctx := context.Background()
		create := func(i int, end time.Time) {
			assert.NilError(t, l.CreateWithSettings(ctx, id(i), 1000, ledger.BudgetSettings{EndsAt: end}, id(i).Name))
		}
		create(0, time.Time{})
		create(1, time.Now().Add(2*time.Hour))
		create(2, time.Now().Add(time.Hour))
		assertBudgets(t, l, id(2), id(1), id(0))

		m := &allotment.Manager{Ledger: l}
		r, err := m.Reserve(ctx, id(2), 10)
		assert.NilError(t, err)
		r.Release()
		time.Sleep(time.Hour)
		assertBudgets(t, l, id(1), id(0))
		_, err = m.Reserve(ctx, id(2), 10)
		assert.ErrorIs(t, err, allotment.ErrInsufficient)
	})
}

func assertBudgets(t *testing.T, l *ledger.Ledger, want ...ledger.BudgetID) {
	t.Helper()
	got, err := l.Budgets(context.Background(), "w")
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
}
