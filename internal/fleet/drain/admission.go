package drain

import (
	"sync/atomic"
	"time"
)

// estimateShare is the share of a drain in which the expected duration of a request counts. Later
// ones have little time to spare if they last longer.
const estimateShare = 0.4

// unknownShare is the share of a drain in which requests of unknown duration are accepted.
const unknownShare = 0.2

// Admission decides which requests a router still accepts while it drains. The zero value
// accepts all requests.
type Admission struct {
	stop atomic.Pointer[stopTimes] // nil before the drain
	// deadlineRequired is set when callers no longer have a reason to use this router.
	deadlineRequired atomic.Bool
}

// stopTimes are the times of a drain that admission depends on.
type stopTimes struct {
	limit        time.Time // requests in flight are cut off
	estimatesEnd time.Time // expected durations no longer count
	unknownEnd   time.Time // requests of unknown duration are no longer accepted
}

// Begin begins the drain at now, which cuts off the requests in flight at limit. Accepts then
// refuses requests that may be among them.
func (a *Admission) Begin(now, limit time.Time) {
	share := func(x float64) time.Time { return now.Add(time.Duration(x * float64(limit.Sub(now)))) }
	a.stop.Store(&stopTimes{limit: limit, estimatesEnd: share(estimateShare), unknownEnd: share(unknownShare)})
}

// RequireDeadline makes Accepts ignore expected durations: a request is accepted only if its
// deadline guarantees that it ends in time.
func (a *Admission) RequireDeadline() { a.deadlineRequired.Store(true) }

// Accepts reports whether the router accepts a request that arrives now and ends at deadline at
// the latest; the zero time stands for no deadline. The request is expected to last no longer than
// expected, which may be Unknown.
func (a *Admission) Accepts(now, deadline time.Time, expected time.Duration) bool {
	stop := a.stop.Load()
	switch {
	case stop == nil:
		return true
	case !deadline.IsZero() && !deadline.After(stop.limit):
		return true
	case a.deadlineRequired.Load() || now.After(stop.estimatesEnd):
		return false
	case expected == Unknown:
		return !now.After(stop.unknownEnd)
	default:
		return !now.Add(expected).After(stop.limit)
	}
}
