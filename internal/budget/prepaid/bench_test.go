package prepaid

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkHoldings measures what a life with many workspaces holds and writes.
func BenchmarkHoldings(b *testing.B) {
	const workspaces = 2000
	for b.Loop() {
		w := newWorld()
		for n := range workspaces {
			w.topUp(nameOf(n), 1_000_000)
		}
		w.start("a")
		time.Sleep(time.Second)
		before := heap()
		var all sync.WaitGroup
		for n := range workspaces {
			all.Go(func() {
				r, err := w.life("a").purse.Reserve(b.Context(), nameOf(n), 1000, time.Second)
				if err == nil {
					r.Bill(1000)
				}
			})
		}
		all.Wait()
		time.Sleep(time.Second)
		rows := 0
		w.store.mu.Lock()
		for at, r := range w.store.rows {
			if at.Table == tableJournal {
				rows += len(r.Value)
			}
		}
		w.store.mu.Unlock()
		b.ReportMetric(float64(rows)/workspaces, "journal_B/workspace")
		b.ReportMetric(float64(heap()-before)/workspaces, "heap_B/workspace")
		w.kill("a")
	}
}

// BenchmarkReserve measures a reservation that the holding covers.
func BenchmarkReserve(b *testing.B) {
	w := newWorld()
	w.topUp("joiners", 1<<50)
	w.start("a")
	defer w.kill("a")
	time.Sleep(time.Second)
	p := w.life("a").purse
	b.ReportAllocs()
	for b.Loop() {
		r, err := p.Reserve(b.Context(), "joiners", 1, time.Second)
		assert.NilError(b, err)
		r.Bill(0)
	}
}

func nameOf(n int) string { return fmt.Sprintf("workspace-%05d", n) }

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
