package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// history reports versions and puts others in force, at times in milliseconds since its beginning.
type history struct {
	announcements
	began   time.Time
	inForce uint64
}

func (h *history) at(ms int) time.Time { return h.began.Add(time.Duration(ms) * time.Millisecond) }

func (h *history) assertOverdue(t *testing.T, ms int, want bool) {
	t.Helper()
	assert.Equal(t, h.overdue(h.inForce, h.at(ms)), want, "after %d ms", ms)
}

// reportEvery reports a version every 500 ms.
func (h *history) reportEvery(version uint64, from, to int) {
	for ms := from; ms <= to; ms += 500 {
		h.report(version, h.at(ms))
	}
}

func (h *history) reach(version uint64, ms int) time.Duration {
	h.inForce = version
	return h.announcements.reach(version, h.at(ms))
}

// TestOutdatedConfigurationIsNotServed guards against requests that are served by a configuration long after other routers
// have reported a newer one.
func TestOutdatedConfigurationIsNotServed(t *testing.T) {
	newHistory := func() *history { return &history{began: time.Now(), inForce: 4} }
	t.Run("it does not arrive", func(t *testing.T) {
		h := newHistory()
		h.reportEvery(5, 0, 3000)
		h.assertOverdue(t, 1900, false)
		h.assertOverdue(t, 3000, true)
		assert.Equal(t, h.reach(5, 3200), 3200*time.Millisecond)
		h.assertOverdue(t, 3200, false)
	})
	t.Run("newer ones follow faster than any arrives", func(t *testing.T) {
		h := newHistory()
		for n := range 6 {
			h.report(uint64(5+n), h.at(500*n))
		}
		h.assertOverdue(t, 2500, true)
		h.reach(8, 2600)
		h.assertOverdue(t, 2600, false)
		h.report(10, h.at(4100))
		h.assertOverdue(t, 4100, true)
	})
	t.Run("the router keeps up with a series", func(t *testing.T) {
		h := newHistory()
		for n := range 20 {
			h.report(uint64(5+n), h.at(500*n))
			if n > 0 {
				h.reach(uint64(4+n), 500*n+400)
			}
			h.assertOverdue(t, 500*n+450, false)
		}
	})
	t.Run("a report comes late", func(t *testing.T) {
		h := newHistory()
		h.report(5, h.at(0))
		h.inForce = 5 // in force before the report was recorded
		h.reportEvery(6, 2500, 3000)
		h.assertOverdue(t, 3000, false)
	})
	t.Run("no router has it any longer", func(t *testing.T) {
		h := newHistory()
		h.reportEvery(5, 0, 3000)
		h.assertOverdue(t, 3000, true)
		h.assertOverdue(t, 5100, false)
	})
	t.Run("it has arrived but can't be read", func(t *testing.T) {
		h := newHistory()
		h.reportEvery(5, 0, 3000)
		h.forget()
		h.reportEvery(5, 3500, 9000)
		h.assertOverdue(t, 9000, false)
	})
	t.Run("many versions", func(t *testing.T) {
		h := newHistory()
		for n := range 3 * maxPending {
			h.report(uint64(5+n), h.at(10*n))
		}
		assert.Assert(t, len(h.pending) <= maxPending)
		assert.Equal(t, h.highestVersion(), uint64(4+3*maxPending))
		h.reach(uint64(4+3*maxPending), 2000)
		assert.Equal(t, len(h.pending), 0)
	})
}
