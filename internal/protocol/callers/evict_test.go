package callers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestOldestIdleConnectionGoesFirst checks that of connections which became idle at random times those go that have been idle
// for longest.
func TestOldestIdleConnectionGoesFirst(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var conns []*Conn
		for range rapid.IntRange(1, 12).Draw(rt, "connections") {
			conns = append(conns, &Conn{idleSince: time.Unix(rapid.Int64Range(0, 20).Draw(rt, "idle since"), 0)})
		}
		n := rapid.IntRange(1, len(conns)).Draw(rt, "closed")
		chosen := make(map[*Conn]bool)
		for _, c := range oldest(conns, n) {
			chosen[c] = true
		}
		assert.Equal(rt, len(chosen), n)
		for gone := range chosen {
			for _, c := range conns {
				assert.Assert(rt, chosen[c] || !c.idleSince.Before(gone.idleSince), "one of %v goes before one of %v", gone.idleSince, c.idleSince)
			}
		}
	})
}
