package membership

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// readyEverywhere returns how long it takes until each of n routers knows that all others
// are ready, if all become ready at the same time.
func readyEverywhere(t *testing.T, n int) time.Duration {
	t.Helper()
	var took time.Duration
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(9)
		defer net.killAll()
		nodes := joined(net, n)
		began := time.Now()
		for _, nd := range nodes {
			nd.view.SetReady(true)
		}
		for !allReady(nodes) {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, time.Since(began) < time.Minute, "not all are known to be ready")
		}
		took = time.Since(began)
	})
	return took
}

// joined starts n routers and lets them find each other.
func joined(net *network, n int) []*node {
	seeds := []string{addrOf(0), addrOf(1), addrOf(2)}
	var nodes []*node
	for i := range n {
		nodes = append(nodes, net.start(addrOf(i), fmt.Sprintf("r-%d", i), 1, seeds...))
	}
	time.Sleep(time.Minute)
	return nodes
}

func allReady(nodes []*node) bool {
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

// TestReadySpreads bounds how long callers are told of a part of the fleet only, after a
// configuration has come to all at once.
func TestReadySpreads(t *testing.T) {
	for _, n := range []int{8, 83} {
		took := readyEverywhere(t, n)
		t.Logf("%d routers: %v", n, took)
		assert.Assert(t, took <= 5*time.Second, "%d routers took %v", n, took)
	}
}
