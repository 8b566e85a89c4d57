package catalogue

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"rosevalve/internal/protocol/inner"
)

// largeSnapshot returns a configuration of the size given in DEVELOPERS.md.
func largeSnapshot(b *testing.B) *Snapshot {
	b.Helper()
	var items []Item
	add := func(kind Kind, name string, value any) {
		item, err := NewItem(kind, name, value)
		if err != nil {
			b.Fatal(err)
		}
		items = append(items, item)
	}
	for i := range 6100 {
		addr := fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250)
		add(KindTarget, addr, Target{Addr: addr, FailureDomain: "fd-1", Models: []string{"oak"}, Capacity: 32})
	}
	for i := range 410 {
		name := fmt.Sprintf("workspace-%d", i)
		add(KindWorkspace, name, Workspace{Name: name, Weight: 1, KeyHashes: []string{HashKey(name)}})
	}
	return newSnapshot(1, items)
}

// BenchmarkApply applies one change to a configuration of 6,510 items.
func BenchmarkApply(b *testing.B) {
	s := largeSnapshot(b)
	item, err := NewItem(KindTarget, "10.0.0.1:8000", Target{Addr: "10.0.0.1:8000", Models: []string{"oak"}, Leaving: true})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		_ = s.withChanges([]Change{{Version: 2, Items: []Item{item}}})
	}
}

// BenchmarkSnapshotMemory reports the heap size of a configuration of 6,510 items.
func BenchmarkSnapshotMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := largeSnapshot(b)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "bytes")
		runtime.KeepAlive(s)
	}
}

// BenchmarkMessages reports the encoded size of a request and response without changes, of
// one change, and of all items of the configuration.
func BenchmarkMessages(b *testing.B) {
	s := largeSnapshot(b)
	size := func(v any) float64 {
		text, err := json.Marshal(v)
		if err != nil {
			b.Fatal(err)
		}
		return float64(len(text))
	}
	change := Change{Version: 2, CommandID: HashKey("c")[:26], Operator: "ana", Command: `set target "10.0.0.1:8000" leaving = true`, Items: s.Items()[:1]}
	for b.Loop() {
		request := inner.ConfigurationRequest{From: "10.0.0.1:7101", Version: 1_000_000}
		answer := inner.ConfigurationResponse{Version: 1_000_000, Ready: true}
		b.ReportMetric(size(request)+size(answer), "quiet_bytes")
		b.ReportMetric(size(change), "change_bytes")
		b.ReportMetric(size(s.Items()), "whole_bytes")
	}
}
