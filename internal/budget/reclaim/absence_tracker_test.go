package reclaim

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestSuspicion checks how long routers count as missing and how many are selected to sweep.
func TestSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		present := []string{"a", "b", "c"}
		tracker := &AbsenceTracker{Present: func() []string { return present }}
		assert.Equal(t, tracker.MissingFor("a"), time.Duration(0))
		tracker.Refresh()
		time.Sleep(time.Second)
		assert.Equal(t, tracker.MissingFor("a"), time.Duration(0))
		assert.Equal(t, tracker.MissingFor("never seen"), time.Second)

		present = []string{"b", "c"}
		tracker.Refresh()
		time.Sleep(2 * time.Second)
		assert.Equal(t, tracker.MissingFor("a"), 2*time.Second)

		present = []string{"a", "b", "c"}
		tracker.Refresh()
		assert.Equal(t, tracker.MissingFor("a"), time.Duration(0))

		selected := 0
		for _, id := range present {
			if tracker.RanksAmongFirst(id, 2) {
				selected++
			}
		}
		assert.Equal(t, selected, 2)
	})
}
