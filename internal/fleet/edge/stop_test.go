package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStopTimes checks that a stop ends before its limit and that requests are not cut off
// before the last sixth of it.
func TestStopTimes(t *testing.T) {
	for _, limit := range []time.Duration{2 * time.Second, 4 * time.Second, 6 * time.Second, 8 * time.Second, 30 * time.Second} {
		finish, releaseTime := stopTimes(limit)
		assert.Assert(t, finish >= limit-limit/6, "limit %v: requests are cut off after %v", limit, finish)
		assert.Assert(t, finish+releaseTime < limit, "limit %v: %v are left to end", limit, limit-finish-releaseTime)
	}
}
