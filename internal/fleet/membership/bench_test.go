package membership

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// BenchmarkFleet reports, in virtual time, what membership costs one router of a
// fleet at rest, and how long it takes until all know of a router that died.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{8, 64, 256, 512} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				// Test needs a *testing.T; a zero one serves outside of a test run.
				synctest.Test(&testing.T{}, func(*testing.T) { observe(b, n) })
			}
		})
	}
}

func observe(b *testing.B, n int) {
	const window = 20 * time.Second
	net := newNetwork(7)
	net.adjust = func(v *View) { v.ConfigVersion = func() uint64 { return 123_456 } }
	defer net.killAll()
	for i := range n {
		net.start(addrOf(i), fmt.Sprint("life-", i), 10, addrOf(0), addrOf(1), addrOf(2))
	}
	began := time.Now()
	for !net.allKnow(n, n) {
		time.Sleep(time.Second)
	}
	b.ReportMetric(time.Since(began).Seconds(), "s/joined")
	time.Sleep(4 * settle)
	net.mu.Lock()
	net.bytes, net.calls = 0, 0
	net.mu.Unlock()
	time.Sleep(window)
	net.mu.Lock()
	sent, messages := net.bytes, net.calls
	net.mu.Unlock()
	b.ReportMetric(float64(sent)/float64(n)/window.Seconds(), "B/s/router")
	b.ReportMetric(float64(messages)/float64(n)/window.Seconds(), "messages/s/router")
	net.kill(addrOf(n - 1))
	died := time.Now()
	for !net.anyDoubts(n, addrOf(n-1)) {
		time.Sleep(100 * time.Millisecond)
	}
	b.ReportMetric(time.Since(died).Seconds(), "s/suspected")
	for !net.allKnow(n-1, n-1) {
		time.Sleep(100 * time.Millisecond)
	}
	b.ReportMetric(time.Since(died).Seconds(), "s/removed")
}

// allKnow reports whether each of the first n routers believes in want routers.
func (n *network) allKnow(count, want int) bool {
	for i := range count {
		if len(n.nodes[addrOf(i)].view.Members()) != want {
			return false
		}
	}
	return true
}

// anyDoubts reports whether a router suspects the one at the address or has removed it.
func (n *network) anyDoubts(count int, addr string) bool {
	for i := range count - 1 {
		v := n.nodes[addrOf(i)].view
		if c := v.Counts(); c.Suspicions > 0 {
			return true
		}
	}
	return false
}
