package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBusyRouterAcceptsFewerRequests guards against a router that goes on to accept what it can't serve in time, and against
// one that accepts nothing, and never learns that it may again.
func TestBusyRouterAcceptsFewerRequests(t *testing.T) {
	last := 1.0
	for delay := time.Duration(0); delay < 5*time.Second; delay += 10 * time.Millisecond {
		share := acceptedShare(delay)
		assert.Assert(t, share <= last && share >= minAcceptedShare, "%v: %v", delay, share)
		last = share
	}
	assert.Equal(t, acceptedShare(maxQueueingDelay), 1.0)
	assert.Equal(t, acceptedShare(2*maxQueueingDelay), 0.5)
	assert.Equal(t, last, minAcceptedShare)
}
