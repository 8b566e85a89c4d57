package follow

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
)

// largeValue returns a value of many similar entries, like those of a configuration.
func largeValue(entries int) string {
	random := rand.New(rand.NewPCG(3, 4))
	var text strings.Builder
	for range entries {
		fmt.Fprintf(&text, `{"name":"r-%08x","path":"/%08x/","kind":"idempotent","timeout":3000,"goal":1000,"service":"s"}`, random.Uint32(), random.Uint32())
	}
	return text.String()
}

// TestLargeRowsAreSmallBetweenRouters guards against routers that fill each other's links with a large row that all of
// them ask for, and against values that change on the way.
func TestLargeRowsAreSmallBetweenRouters(t *testing.T) {
	value := largeValue(2000)
	for _, packing := range []string{inner.PackingDeflate, "", "unknown"} {
		t.Run("packing "+packing, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				healthy, refusing := newFakeStore(), newFakeStore()
				refusing.setFaults(false, true)
				other := startFollower(t, healthy, nil)
				healthy.put("large", value)
				healthy.put("small", "1")
				var sent atomic.Int64
				c := startFollower(t, refusing, func(_ context.Context, _ string, in inner.FollowRequest) (inner.FollowResponse, error) {
					in.Packing = packing
					out := other.ChangesSince(in)
					for _, r := range out.Rows {
						sent.Add(int64(len(r.Value)))
					}
					return out, nil
				})
				time.Sleep(2 * time.Second)
				c.assertRows(t, map[string]string{"large": value, "small": "1"})
				if packing == inner.PackingDeflate {
					assert.Assert(t, sent.Load() < int64(len(value)/4), "%d bytes for a value of %d", sent.Load(), len(value))
				} else {
					assert.Assert(t, sent.Load() >= int64(len(value)))
				}
			})
		})
	}
}

// TestPackedValueFollowsTheRow guards against a packed value of an earlier version, or an earlier era, of the row.
func TestPackedValueFollowsTheRow(t *testing.T) {
	var p packedValues
	random := rand.New(rand.NewPCG(5, 6))
	for n := range 200 {
		value := []byte(largeValue(1 + random.IntN(100)))
		era, version := uint64(n/50), uint64(n%50)
		for range 2 {
			r := inner.FollowedRow{Key: "a", Version: version, Value: value}
			p.pack(&r, era)
			got, err := unpack(r)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, value), "value %d", n)
		}
	}
}

// TestDamagedPackedRow guards against rows that are taken over from an answer that can't be unpacked, or that would fill
// the memory.
func TestDamagedPackedRow(t *testing.T) {
	endless := inner.FollowedRow{Key: "a", Version: 9, Value: deflate(make([]byte, maxUnpackedSize+1)), Packed: true}
	for name, r := range map[string]inner.FollowedRow{
		"no DEFLATE stream": {Key: "a", Version: 9, Value: []byte("{}"), Packed: true},
		"cut off":           {Key: "a", Version: 9, Value: deflate([]byte(largeValue(100)))[:500], Packed: true},
		"too large":         endless,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				s.put("a", "1")
				results := make(chan Result, 10)
				c := startFollower(t, s, func(context.Context, string, inner.FollowRequest) (inner.FollowResponse, error) {
					return inner.FollowResponse{Version: 9, Rows: []inner.FollowedRow{r}}, nil
				}, func(c *Table) { c.OnTransfer = func(r Result) { results <- r } })
				time.Sleep(time.Millisecond)
				c.HintPeer("other", func() bool { return true })
				time.Sleep(time.Millisecond)
				c.assertRows(t, map[string]string{"a": "1"})
				assert.NilError(t, (<-results).Err) // the first read
				last := <-results
				assert.Assert(t, last.FromPeer && last.Err != nil, "%+v", last)
			})
		})
	}
}

// TestRowsThatHaveArrivedAreNotAskedForAgain guards against a large row that is read once more since a router reported
// it before it had arrived.
func TestRowsThatHaveArrivedAreNotAskedForAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a", "1")
		var asked atomic.Int32
		var inForce atomic.Bool
		c := startFollower(t, s, func(context.Context, string, inner.FollowRequest) (inner.FollowResponse, error) {
			asked.Add(1)
			time.Sleep(time.Second) // the rows arrive meanwhile
			inForce.Store(true)
			return inner.FollowResponse{}, table.ErrUnavailable
		})
		time.Sleep(time.Millisecond)
		needed := func() bool { return !inForce.Load() }
		c.HintPeer("first", needed)
		time.Sleep(time.Millisecond)
		c.HintPeer("second", needed)
		time.Sleep(3 * time.Second)
		assert.Equal(t, asked.Load(), int32(1))
	})
}
