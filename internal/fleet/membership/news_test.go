package membership

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// newsShare is the part of what a router would send if it sent each statement as often as
// is allowed that the news of a whole fleet may cost.
const newsShare = 0.6

// newsTime is how long the news is counted.
const newsTime = 20 * time.Second

// TestKnownNewsIsSentLess bounds what it costs that all routers of a fleet have something
// new to say at the same time, as after all were started again.
func TestKnownNewsIsSentLess(t *testing.T) {
	const n = 83
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(9)
		defer net.killAll()
		nodes := joined(net, n)
		before := net.sent()
		time.Sleep(newsTime)
		rest := net.sent() - before
		before = net.sent()
		for _, nd := range nodes {
			nd.view.SetReady(true)
		}
		time.Sleep(newsTime)
		news := float64(net.sent()-before-rest) / n
		assert.Assert(t, allReady(nodes), "not all are known to be ready after %v", newsTime)
		statement, err := json.Marshal(nodes[0].view.Self())
		assert.NilError(t, err)
		most := float64(len(statement) * (n - 1) * nodes[0].view.sends())
		assert.Assert(t, news < newsShare*most, "%.0f bytes a router, of at most %.0f", news, most)
	})
}
