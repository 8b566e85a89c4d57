package membership

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rosevalve/internal/protocol/inner"
)

// chokedFleet starts routers of which the first loses all messages. Its link counts as overloaded if impaired is set.
func chokedFleet(net *network, n int, impaired *atomic.Bool) []*node {
	net.adjust = func(v *View) {
		v.Impaired = func() bool { return v.Self().InnerAddr == addrOf(0) && impaired.Load() }
	}
	nodes := startFleet(net, n)
	for i := 1; i < n; i++ {
		net.cut(addrOf(0), addrOf(i), true)
	}
	return nodes
}

// aliveIn returns the number of routers that a view has as alive, this router included.
func aliveIn(nd *node) int {
	alive := 0
	for _, m := range nd.view.Members() {
		if m.State == inner.Alive {
			alive++
		}
	}
	return alive
}

// TestImpairedRouterKeepsItsView replays a router whose own link is full: it hears nobody, and must take that for its own
// fault, not for theirs.
func TestImpairedRouterKeepsItsView(t *testing.T) {
	const n = 20
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(7)
		defer net.killAll()
		var impaired atomic.Bool
		impaired.Store(true)
		nodes := chokedFleet(net, n, &impaired)
		time.Sleep(time.Minute)
		assert.Equal(t, aliveIn(nodes[0]), n)
		assert.Equal(t, nodes[0].view.Counts().Suspicions, int64(0))
		impaired.Store(false)
		time.Sleep(time.Minute)
		assert.Equal(t, aliveIn(nodes[0]), 1, "a router that is not impaired removes those that it does not hear")
	})
}

// TestImpairedRouterHearsOfDeadOnes checks that an impaired router which the others reach learns from them who is gone.
func TestImpairedRouterHearsOfDeadOnes(t *testing.T) {
	const n, killed = 20, 11
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(8)
		defer net.killAll()
		var impaired atomic.Bool
		impaired.Store(true)
		nodes := chokedFleet(net, n, &impaired)
		for i := 1; i < n; i++ {
			net.cut(addrOf(0), addrOf(i), false)
		}
		for i := n - killed; i < n; i++ {
			net.kill(addrOf(i))
		}
		time.Sleep(20 * time.Second)
		assert.Equal(t, aliveIn(nodes[0]), n-killed)
	})
}
