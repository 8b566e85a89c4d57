package placement

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// longShare is the part of the longest pause between events from which on the
	// reading of a prompt disturbs the streams beside it.
	longShare = 0.25
	// laneWindow is the time constant of the measured work.
	laneWindow = time.Minute
	// laneSlack is how far the split may be off, in instances, before it is moved.
	laneSlack = 0.75
	// wrongLaneGaps is how many of the longest pauses between events the wrong lane
	// counts for.
	wrongLaneGaps = 0.7
)

// lanes divide the engines of a service between requests with long prompts, whose
// reading delays the events of the streams beside them, and the others. The engines
// stand in one order that all routers agree on; the split follows the measured work.
type lanes struct {
	mu          sync.Mutex // guards the fields below
	long, short float64    // work of late, in nanoseconds of an engine
	at          time.Time
	split       int // instances of the long lane
	count       int // instances when the split was made
}

// long reports whether the request's prompt takes so long to read that it disturbs others.
func (d Demand) long(pace Pace) bool {
	return d.EventGap > 0 && pace.read(float64(d.Input)) > scale(d.EventGap, longShare)
}

// work returns the time of an engine that the request takes up, if the engine answers as
// many others at once as it can.
func (d Demand) work(pace Pace, places int) time.Duration {
	steps := float64(d.LikelyOutput) / float64(max(1, places))
	return pace.read(float64(d.Input)) + scale(pace.Step, steps)
}

// note counts the work of a request to the instances.
func (l *lanes) note(d Demand, pace Pace, list []*instance, now time.Time) {
	instances := len(list)
	if d.EventGap == 0 || instances == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	fade := math.Exp(-now.Sub(l.at).Seconds() / laneWindow.Seconds())
	l.at = now
	l.long *= fade
	l.short *= fade
	work := float64(d.work(pace, list[0].Capacity))
	if d.long(pace) {
		l.long += work
	} else {
		l.short += work
	}
	wanted := float64(instances) * l.long / (l.long + l.short)
	if l.count != instances || math.Abs(wanted-float64(l.split)) > laneSlack {
		l.split = int(math.Round(wanted))
		l.count = instances
	}
}

// splitOf returns how many of the instances are in the long lane; each lane has one at
// least, if there are two.
func (l *lanes) splitOf(instances int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(min(l.split, instances-1), min(1, instances-1))
}

// laneOrder sorts instances in the order that all routers agree on.
func laneOrder(list []*instance) []*instance {
	out := slices.Clone(list)
	slices.SortFunc(out, func(a, b *instance) int { return cmp.Compare(a.hash, b.hash) })
	return out
}
