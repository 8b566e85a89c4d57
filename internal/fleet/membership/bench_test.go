package membership

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// BenchmarkFleet reports, in virtual time, the traffic of membership per router of an idle fleet,
// and the time until all routers have removed one that was killed.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{8, 64, 256, 512} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				// synctest.Test needs a *testing.T; a zero one works outside of a test.
				synctest.Test(&testing.T{}, func(*testing.T) { measureFleet(b, n) })
			}
		})
	}
}

// measureFleet reports the metrics of a fleet of n routers.
func measureFleet(b *testing.B, n int) {
	const window = 20 * time.Second
	net := newNetwork(7)
	net.adjust = func(v *View) { v.ConfigVersion = func() uint64 { return 123_456 } }
	defer net.killAll()
	for i := range n {
		net.start(addrOf(i), fmt.Sprint("life-", i), 10, addrOf(0), addrOf(1), addrOf(2))
	}
	began := time.Now()
	for !net.allSee(n, n) {
		time.Sleep(time.Second)
	}
	b.ReportMetric(time.Since(began).Seconds(), "s/joined")
	time.Sleep(4 * settleTime)
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
	for !net.anySuspicion(n, addrOf(n-1)) {
		time.Sleep(100 * time.Millisecond)
	}
	b.ReportMetric(time.Since(died).Seconds(), "s/suspected")
	for !net.allSee(n-1, n-1) {
		time.Sleep(100 * time.Millisecond)
	}
	b.ReportMetric(time.Since(died).Seconds(), "s/removed")
}

// allSee reports whether the views of the first count routers contain want routers each.
func (n *network) allSee(count, want int) bool {
	for i := range count {
		if len(n.nodes[addrOf(i)].view.Members()) != want {
			return false
		}
	}
	return true
}

// anySuspicion reports whether one of the first count-1 routers has suspected any router.
func (n *network) anySuspicion(count int, addr string) bool {
	for i := range count - 1 {
		v := n.nodes[addrOf(i)].view
		if c := v.Counts(); c.Suspicions > 0 {
			return true
		}
	}
	return false
}
