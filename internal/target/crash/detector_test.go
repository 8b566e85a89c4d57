package crash

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// detect reports lost attempts, waits until all are investigated and returns the crashes.
func detect(t *testing.T, refuses bool, lost ...Lost) []Crash {
	t.Helper()
	var out []Crash
	synctest.Test(t, func(*testing.T) {
		d := &Detector{Refuses: func(context.Context, string) bool { return refuses }, OnCrash: func(c Crash) { out = append(out, c) }}
		for _, l := range lost {
			d.ConnectionLost(l)
		}
		time.Sleep(time.Second)
	})
	return out
}

func TestDetector(t *testing.T) {
	a := Lost{Service: "e", Instance: "i-1", Addr: "10.0.0.1:1", Parts: []Part{{ID: 1}, {ID: 2, Position: 1}}}
	b := Lost{Service: "e", Instance: "i-1", Addr: "10.0.0.1:1", Parts: []Part{{ID: 1}, {ID: 3, Position: 1}}}
	begun := Lost{Service: "e", Instance: "i-1", Addr: "10.0.0.1:1"}
	t.Run("a host that refuses connections", func(t *testing.T) {
		assert.DeepEqual(t, detect(t, true, a, begun, b), []Crash{{
			Service: "e", Instance: "i-1", Addr: "10.0.0.1:1", LostAttempts: 3,
			Prompts: [][]Part{a.Parts, b.Parts},
		}})
	})
	t.Run("a single connection that broke", func(t *testing.T) {
		assert.Equal(t, len(detect(t, false, a, b)), 0)
	})
}
