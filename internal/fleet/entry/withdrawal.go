package entry

import (
	"time"

	"rosevalve/internal/protocol/inner"
)

const (
	// maxWithdrawnShare is the share of the live routers that may be not ready, the withdrawn ones among them.
	maxWithdrawnShare = 0.1
	// maxHoldDoublings bounds the time for which a router is withdrawn.
	maxHoldDoublings = 4
)

// Withdrawal decides when an overloaded router stops being ready. Callers that stay with one address, whatever the
// directory says, leave it only then. A router that has been overloaded is withdrawn for a while, since such callers
// come back together as soon as it is ready.
type Withdrawal struct {
	// Hold is how long a router is withdrawn after an overload. Each further overload soon after doubles it. The router
	// is never withdrawn if it is 0.
	Hold time.Duration

	until    time.Time // end of the last withdrawal
	lastHold time.Duration
}

// Update returns whether this router, whose inner address is self, is withdrawn. overloaded reports that it refuses
// requests now since it is overloaded, and members is the membership view.
func (w *Withdrawal) Update(now time.Time, overloaded bool, self string, members []inner.Member) bool {
	withdrawn := now.Before(w.until)
	if !overloaded || w.Hold == 0 {
		return withdrawn
	}
	if !withdrawn {
		if !sparable(self, members) {
			return false
		}
		w.lastHold = w.nextHold(now)
	}
	w.until = now.Add(w.lastHold)
	return true
}

// nextHold returns the duration of a withdrawal that begins now.
func (w *Withdrawal) nextHold(now time.Time) time.Duration {
	if w.lastHold == 0 || now.Sub(w.until) > w.lastHold {
		return w.Hold
	}
	return min(2*w.lastHold, w.Hold<<maxHoldDoublings)
}

// sparable reports whether the callers of a router can be served by others: enough of these have room, and few are not
// ready.
func sparable(self string, members []inner.Member) bool {
	alive, notReady, withRoom := 0, 1, 0
	for _, m := range members {
		if m.State != inner.Alive {
			continue
		}
		alive++
		switch {
		case m.InnerAddr == self:
		case !m.Ready:
			notReady++
		case !m.Busy:
			withRoom++
		}
	}
	return withRoom >= minServing && float64(notReady) <= maxWithdrawnShare*float64(alive)
}
