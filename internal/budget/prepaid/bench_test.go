package prepaid

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkHoldings measures the heap and the journal row of an incarnation with many workspaces.
func BenchmarkHoldings(b *testing.B) {
	const workspaces = 2000
	for b.Loop() {
		f := newTestFleet()
		for n := range workspaces {
			f.topUp(workspaceName(n), 1_000_000)
		}
		f.start("a")
		time.Sleep(time.Second)
		before := heapBytes()
		var all sync.WaitGroup
		for n := range workspaces {
			all.Go(func() {
				r, err := f.incarnationOf("a").manager.Reserve(b.Context(), workspaceName(n), 1000, time.Second)
				if err == nil {
					r.Bill(1000)
				}
			})
		}
		all.Wait()
		time.Sleep(time.Second)
		journalBytes := 0
		f.store.mu.Lock()
		for at, r := range f.store.rows {
			if at.Table == tableJournal {
				journalBytes += len(r.Value)
			}
		}
		f.store.mu.Unlock()
		b.ReportMetric(float64(journalBytes)/workspaces, "journal_B/workspace")
		b.ReportMetric(float64(heapBytes()-before)/workspaces, "heap_B/workspace")
		f.kill("a")
	}
}

// BenchmarkReserve measures a reservation from tokens that are held.
func BenchmarkReserve(b *testing.B) {
	f := newTestFleet()
	f.topUp("joiners", 1<<50)
	f.start("a")
	defer f.kill("a")
	time.Sleep(time.Second)
	m := f.incarnationOf("a").manager
	b.ReportAllocs()
	for b.Loop() {
		r, err := m.Reserve(b.Context(), "joiners", 1, time.Second)
		assert.NilError(b, err)
		r.Bill(0)
	}
}

func workspaceName(n int) string { return fmt.Sprintf("workspace-%05d", n) }

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
