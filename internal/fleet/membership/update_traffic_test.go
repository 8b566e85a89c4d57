package membership

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// maxTrafficShare bounds the traffic for updates about a whole fleet, as a share of what a router
// would send if it sent each update maxSends times.
const maxTrafficShare = 0.6

// measureTime is the time over which traffic is counted.
const measureTime = 20 * time.Second

// TestKnownNewsIsSentLess guards against sending updates on that peers already know. All routers
// of a fleet make an update at the same time, as after a restart of all, and the traffic is
// bounded.
func TestKnownNewsIsSentLess(t *testing.T) {
	const n = 83
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(9)
		defer net.killAll()
		nodes := startFleet(net, n)
		before := net.bytesSent()
		time.Sleep(measureTime)
		idleBytes := net.bytesSent() - before
		before = net.bytesSent()
		for _, nd := range nodes {
			nd.view.SetReady(true)
		}
		time.Sleep(measureTime)
		updateBytes := float64(net.bytesSent()-before-idleBytes) / n
		assert.Assert(t, allKnownReady(nodes), "not all routers are known to be ready after %v", measureTime)
		update, err := json.Marshal(nodes[0].view.Self())
		assert.NilError(t, err)
		limit := float64(len(update) * (n - 1) * nodes[0].view.maxSends())
		assert.Assert(t, updateBytes < maxTrafficShare*limit, "%.0f bytes per router, of at most %.0f without discounts", updateBytes, limit)
	})
}
