package catalogue

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
)

// peersAskedPerRound runs gossip rounds of a router with 10 peers at version 5 and returns
// the number of peers asked in each.
func peersAskedPerRound(t *testing.T, rounds int, prepare func(c *Catalogue)) []int {
	t.Helper()
	var mu sync.Mutex // guards count
	count := 0
	c := &Catalogue{
		Scan: func(context.Context, string, string, int) ([]table.Row, error) { return nil, nil },
		Peers: func() []string {
			var out []string
			for i := range 10 {
				out = append(out, strconv.Itoa(i))
			}
			return out
		},
		QueryPeer: func(context.Context, string, inner.ConfigurationRequest) (inner.ConfigurationResponse, error) {
			mu.Lock()
			defer mu.Unlock()
			count++
			return inner.ConfigurationResponse{}, nil
		},
	}
	c.install(newSnapshot(5, nil))
	prepare(c)
	var out []int
	for range rounds {
		count = 0
		c.gossipRound(t.Context(), time.Now())
		out = append(out, count)
	}
	return out
}

func TestRoundBehindInstallIsNotLost(t *testing.T) {
	t.Run("a router is ahead", func(t *testing.T) {
		got := peersAskedPerRound(t, 3, func(c *Catalogue) { c.ObservePeerVersion("4", 6) })
		assert.DeepEqual(t, got, []int{1, newVersionFanOut, gossipFanOut})
	})
	t.Run("a router was ahead", func(t *testing.T) {
		got := peersAskedPerRound(t, 2, func(c *Catalogue) {
			c.ObservePeerVersion("4", 6)
			c.install(newSnapshot(6, nil))
		})
		assert.DeepEqual(t, got, []int{newVersionFanOut, gossipFanOut})
	})
}
