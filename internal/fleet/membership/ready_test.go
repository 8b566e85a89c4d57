package membership

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// readySpreadTime returns the time until each of n routers knows that all others are ready, when
// all become ready at the same time.
func readySpreadTime(t *testing.T, n int) time.Duration {
	t.Helper()
	var took time.Duration
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(9)
		defer net.killAll()
		nodes := startFleet(net, n)
		began := time.Now()
		for _, nd := range nodes {
			nd.view.SetReady(true)
		}
		for !allKnownReady(nodes) {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, time.Since(began) < time.Minute, "not all routers are known to be ready")
		}
		took = time.Since(began)
	})
	return took
}

// startFleet starts n routers and waits until they have found each other.
func startFleet(net *network, n int) []*node {
	seeds := []string{addrOf(0), addrOf(1), addrOf(2)}
	var nodes []*node
	for i := range n {
		nodes = append(nodes, net.start(addrOf(i), fmt.Sprintf("r-%d", i), 1, seeds...))
	}
	time.Sleep(time.Minute)
	return nodes
}

// allKnownReady reports whether every view contains all nodes as ready.
func allKnownReady(nodes []*node) bool {
	for _, nd := range nodes {
		members := nd.view.Members()
		if len(members) < len(nodes) {
			return false
		}
		for _, m := range members {
			if !m.Ready {
				return false
			}
		}
	}
	return true
}

// TestReadySpreads guards against callers being directed to only a part of the fleet for long after
// a configuration has reached all routers at once: readiness must spread within a time limit.
func TestReadySpreads(t *testing.T) {
	for _, n := range []int{8, 83} {
		took := readySpreadTime(t, n)
		t.Logf("%d routers: %v", n, took)
		assert.Assert(t, took <= 5*time.Second, "%d routers took %v", n, took)
	}
}
