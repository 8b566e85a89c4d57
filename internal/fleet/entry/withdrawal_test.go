package entry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosevalve/internal/protocol/inner"
)

const (
	// updateInterval is the time between two decisions of each router of the replay.
	updateInterval = 250 * time.Millisecond
	// checkInterval is the time between two readiness checks, and failedChecks how many must fail in a row until the
	// callers leave.
	checkInterval = time.Second
	failedChecks  = 2
)

// stickyReplay replays callers that send all their requests to one router: the first that is ready in an order of
// their own, which knows nothing of capacities.
type stickyReplay struct {
	routers []inner.Member // in the order of the callers
	hold    time.Duration
	demand  int // requests per second

	withdrawals []Withdrawal
	failed      []int // failed readiness checks in a row, by router
}

// run returns the fraction of the requests that were served in a time. A router that is offered more than its capacity
// refuses requests and serves none, since what it refuses fills its link too.
func (r *stickyReplay) run(length time.Duration) float64 {
	r.withdrawals = make([]Withdrawal, len(r.routers))
	r.failed = make([]int, len(r.routers))
	for i := range r.withdrawals {
		r.withdrawals[i].Hold = r.hold
	}
	start := time.Now()
	served, steps := 0, 0
	for at := time.Duration(0); at < length; at += updateInterval {
		if at%checkInterval == 0 {
			r.check()
		}
		target := r.target()
		for i := range r.routers {
			m := &r.routers[i]
			overloaded := i == target && r.demand > m.Capacity
			m.Busy = overloaded
			m.Ready = !r.withdrawals[i].Update(start.Add(at), overloaded, m.InnerAddr, r.routers)
		}
		if !r.routers[target].Busy {
			served++
		}
		steps++
	}
	return float64(served) / float64(steps)
}

// check counts failed readiness checks.
func (r *stickyReplay) check() {
	for i, m := range r.routers {
		r.failed[i]++
		if m.Ready {
			r.failed[i] = 0
		}
	}
}

// target returns the index of the router to which the callers send, which is the first if none is ready.
func (r *stickyReplay) target() int {
	for i, n := range r.failed {
		if n < failedChecks {
			return i
		}
	}
	return 0
}

// fleetOf returns n ready routers, all small but those at the indexes large.
func fleetOf(n int, large ...int) []inner.Member {
	var out []inner.Member
	for i := range n {
		out = append(out, inner.Member{InnerAddr: fmt.Sprintf("10.0.0.%d:9", i), Ready: true, Capacity: 50})
	}
	for _, i := range large {
		out[i].Capacity = 320
	}
	return out
}

// TestStickyCallersReachARouterWithRoom replays a large workspace all of whose callers stay with one small router while
// large ones have room.
func TestStickyCallersReachARouterWithRoom(t *testing.T) {
	replay := func(hold time.Duration) float64 {
		r := stickyReplay{routers: fleetOf(40, 3, 7), demand: 280, hold: hold}
		return r.run(2 * time.Minute)
	}
	t.Run("withdrawal", func(t *testing.T) {
		got := replay(30 * time.Second)
		assert.Assert(t, got >= 0.8, "served %.2f", got)
	})
	t.Run("switched off", func(t *testing.T) {
		assert.Equal(t, replay(0), 0.0)
	})
}

// TestWithdrawalsAreFew guards against a fleet without routers for callers when all are overloaded.
func TestWithdrawalsAreFew(t *testing.T) {
	for _, c := range []struct {
		name          string
		routers, busy int
		want          int
	}{
		{name: "all overloaded", routers: 40, busy: 40, want: 0},
		{name: "half overloaded", routers: 40, busy: 20, want: 4},
		{name: "small fleet", routers: 8, busy: 1, want: 0},
		{name: "few have room", routers: 40, busy: 37, want: 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			routers := fleetOf(c.routers)
			for i := range c.busy {
				routers[i].Busy = true
			}
			withdrawn := 0
			for i := range c.busy {
				w := Withdrawal{Hold: time.Second}
				if w.Update(time.Now(), true, routers[i].InnerAddr, routers) {
					routers[i].Ready = false
					withdrawn++
				}
			}
			assert.Equal(t, withdrawn, c.want)
		})
	}
}

// TestWithdrawalEnds checks how long withdrawals last.
func TestWithdrawalEnds(t *testing.T) {
	const hold = 10 * time.Second
	routers := fleetOf(40)
	self := routers[0].InnerAddr
	start := time.Now()
	w := Withdrawal{Hold: hold}
	assertWithdrawn := func(at time.Duration, overloaded, want bool) {
		t.Helper()
		assert.Equal(t, w.Update(start.Add(at), overloaded, self, routers), want, "at %v", at)
	}
	assertWithdrawn(0, false, false)
	assertWithdrawn(time.Second, true, true)
	assertWithdrawn(2*time.Second, true, true) // still refuses what was on its way
	assertWithdrawn(12*time.Second-1, false, true)
	assertWithdrawn(12*time.Second, false, false)
	assertWithdrawn(15*time.Second, true, true) // soon again: twice as long
	assertWithdrawn(35*time.Second-1, false, true)
	assertWithdrawn(35*time.Second, false, false)
	assertWithdrawn(56*time.Second, true, true) // long after: as at first
	assertWithdrawn(66*time.Second, false, false)
}
