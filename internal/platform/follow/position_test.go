package follow

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
)

// TestPositionOfAnotherRouter guards against rows that reach a router late since the store has just fallen silent for it,
// and against requests for rows that it has.
func TestPositionOfAnotherRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		healthy, silent := newFakeStore(), newFakeStore()
		for _, s := range []*fakeStore{healthy, silent} {
			s.put("a", "1")
			s.put("b", "1")
		}
		other := startFollower(t, healthy, nil)
		var asked atomic.Int32
		c := startFollower(t, silent, func(_ context.Context, _ string, in inner.FollowRequest) (inner.FollowResponse, error) {
			asked.Add(1)
			assert.Check(t, in.Since > 0, "the whole table was requested")
			return other.ChangesSince(in), nil
		})
		time.Sleep(time.Millisecond)
		silent.setFaults(true, false)
		time.Sleep(defaultPollWait)
		healthy.put("a", "2")
		healthy.put("b", "")
		time.Sleep(time.Millisecond)
		era, version := other.Position()
		c.HintPosition("other", era, version)
		time.Sleep(time.Millisecond)
		c.assertRows(t, map[string]string{"a": "2"})
		for _, known := range []uint64{version, version - 1} {
			c.HintPosition("other", era, known)
			time.Sleep(time.Millisecond)
		}
		assert.Equal(t, asked.Load(), int32(1))
		healthy.rollBack(1, table.Row{Location: table.Location{Table: "t", Key: "a"}, Version: 1, Value: []byte("1")})
		time.Sleep(time.Millisecond)
		c.HintPosition("other", 1, 1)
		time.Sleep(time.Millisecond)
		c.assertRows(t, map[string]string{"a": "1"})
	})
}
