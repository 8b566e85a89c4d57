package warmup

import (
	"math"
	"time"
)

const (
	// groups is the number of groups of routers that may not know of each other and keep to the
	// bound together, as on the two sides of a cut.
	groups = 2
	// window is the time in which the requests to a cold target are counted.
	window = time.Second
	// paceMargin is by how much the pace exceeds the window, relative to it, since requests do
	// not all take the same time from Take to their arrival.
	paceMargin = 1.1
	// maxPace bounds the pace where a rate is too small to be meant.
	maxPace = time.Hour
)

// Bounds says by how much the requests to a cold target in one second may exceed its rate:
// at most rate * Overshoot + Slack, over all routers.
type Bounds struct {
	Overshoot, Slack float64
}

// share is how the requests to one cold target are divided among the routers.
type share struct {
	owners int           // routers that may send to the target
	pace   time.Duration // shortest time between two requests of one owner
}

// divide returns the shares of a target that bears a rate, in requests a second. The owners of
// one group together keep to the rate, and in each window to their part of the bound.
func (b Bounds) divide(rate float64, routers int) share {
	bound := (rate*b.Overshoot + b.Slack) / groups
	owners := max(1, math.Floor(min(rate*paceMargin, bound, float64(routers))))
	burst := max(1, math.Floor(bound/owners))
	pace := max(owners/rate, paceMargin*window.Seconds()/burst)
	return share{owners: int(owners), pace: time.Duration(min(pace, maxPace.Seconds()) * float64(time.Second))}
}
