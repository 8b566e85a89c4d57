package membership

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// newsShare is the part of what a router would send if it sent each statement as often as
// is allowed that the news of a whole fleet may cost.
const newsShare = 0.6

// TestKnownNewsIsSentLess bounds what it costs that all routers of a fleet have something
// new to say at the same time, as after all were started again.
func TestKnownNewsIsSentLess(t *testing.T) {
	const n = 83
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(9)
		defer net.killAll()
		seeds := []string{addrOf(0), addrOf(1), addrOf(2)}
		var nodes []*node
		for i := range n {
			nodes = append(nodes, net.start(addrOf(i), fmt.Sprintf("r-%d", i), 1, seeds...))
		}
		time.Sleep(time.Minute)
		before, began := net.bytes, time.Now()
		time.Sleep(20 * time.Second)
		rest := net.bytes - before
		before = net.bytes
		for _, nd := range nodes {
			nd.view.SetReady(true)
		}
		time.Sleep(20 * time.Second)
		news := float64(net.bytes-before-rest) / n
		assert.Assert(t, allReady(nodes), "not all are known to be ready after %v", time.Since(began))
		statement, err := json.Marshal(nodes[0].view.Self())
		assert.NilError(t, err)
		most := float64(len(statement) * (n - 1) * nodes[0].view.sends())
		assert.Assert(t, news < newsShare*most, "%.0f bytes a router, of at most %.0f", news, most)
	})
}
