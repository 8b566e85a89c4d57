package allotment_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosevalve/internal/budget/allotment"
	"rosevalve/internal/budget/demand"
	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/platform/table"
	"rosevalve/internal/standin/platform"
)

// newManager returns a Manager on a table without delay or faults.
func newManager(tb testing.TB, budgets int, size int64) *allotment.Manager {
	store := platform.NewStore()
	l := &ledger.Ledger{
		Holder: "r",
		Commit: func(_ context.Context, c table.Commit) (uint64, error) { return store.Commit(c) },
		Get:    func(_ context.Context, keys ...string) ([]table.Row, error) { return store.Get(keys), nil },
	}
	for i := range budgets {
		assert.NilError(tb, l.Create(context.Background(), id(i), 1<<50, fmt.Sprint(i)))
	}
	return &allotment.Manager{Ledger: l, DrawSize: demand.SizeFixed(size)}
}

func id(i int) ledger.BudgetID { return ledger.BudgetID{Workspace: "w", Name: fmt.Sprint("b", i)} }

func BenchmarkReserve(b *testing.B) {
	m := newManager(b, 1, 1<<40)
	for i := 0; b.Loop(); i++ {
		r, err := m.Reserve(context.Background(), id(0), 10)
		if err != nil {
			b.Fatal(err)
		}
		key := fmt.Sprint(i)
		if err := r.RecordAttempt(context.Background(), allotment.Attempt{RunID: key, RequestKey: key}); err != nil {
			b.Fatal(err)
		}
		r.Release()
	}
}

func BenchmarkDraw(b *testing.B) {
	m := newManager(b, 1, 10)
	for b.Loop() {
		if _, err := m.Reserve(context.Background(), id(0), 10); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSettle(b *testing.B) {
	const perSettlement = 200
	m := newManager(b, 1, 1<<40)
	n := 0
	for b.Loop() {
		for range perSettlement {
			r, err := m.Reserve(context.Background(), id(0), 10)
			if err != nil {
				b.Fatal(err)
			}
			n++
			r.Bill(ledger.BillRow{RequestKey: fmt.Sprint(n), CompletionTokens: 5, BilledAt: time.Unix(0, 0)})
		}
		if err := m.Settle(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.N)*perSettlement/b.Elapsed().Seconds(), "bills/s")
}

// BenchmarkBookMemory reports the heap bytes for each budget that a router serves.
func BenchmarkBookMemory(b *testing.B) {
	const budgets = 10_000
	for b.Loop() {
		m := newManager(b, budgets, 1000)
		before := heapBytes()
		for i := range budgets {
			r, err := m.Reserve(context.Background(), id(i), 10)
			if err != nil {
				b.Fatal(err)
			}
			r.Release()
		}
		b.ReportMetric(float64(heapBytes()-before)/budgets, "B/budget")
		runtime.KeepAlive(m)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
