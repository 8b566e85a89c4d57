package placement

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// longPrefillShare is the share of the event gap goal above which the prefill of a
	// prompt disturbs the streams on the same engine.
	longPrefillShare = 0.25
	// laneTimeConstant is the time constant of the exponential decay of the measured work.
	laneTimeConstant = time.Minute
	// laneHysteresis is how far the size of the long lane may be from its ideal value, in
	// instances, before it is changed.
	laneHysteresis = 0.75
	// wrongLanePenaltyGaps is the penalty for choosing an instance of the other lane, in
	// multiples of the event gap goal.
	wrongLanePenaltyGaps = 0.7
)

// lanes divides the engines of a service into a lane for requests with long prompts, whose
// prefill delays the events of other streams on the same engine, and a lane for all other
// requests. The long lane consists of the first engines in an order that all routers agree
// on; its size follows the measured share of work.
type lanes struct {
	mu                  sync.Mutex // guards the fields below
	longWork, shortWork float64    // decayed sums of recent work, in nanoseconds of engine time
	updated             time.Time  // when the sums were last decayed
	longLane            int        // number of instances in the long lane
	total               int        // number of instances in both lanes when longLane was set
}

// longPrompt reports whether the prefill of the request's prompt takes long enough to
// disturb other streams on the same engine.
func (r Requirements) longPrompt(speed EngineSpeed) bool {
	return r.EventGapGoal > 0 && speed.prefillTime(float64(r.InputTokens)) > scale(r.EventGapGoal, longPrefillShare)
}

// engineTime returns the engine time that the request uses if the engine runs at full
// capacity, so that each decoding step serves capacity requests.
func (r Requirements) engineTime(speed EngineSpeed, capacity int) time.Duration {
	steps := float64(r.ExpectedOutputTokens) / float64(max(1, capacity))
	return speed.prefillTime(float64(r.InputTokens)) + scale(speed.TokenInterval, steps)
}

// record adds the engine time of a request to the work of its lane and resizes the long
// lane if needed.
func (l *lanes) record(r Requirements, speed EngineSpeed, list []*instance, now time.Time) {
	instances := len(list)
	if r.EventGapGoal == 0 || instances == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	decay := math.Exp(-now.Sub(l.updated).Seconds() / laneTimeConstant.Seconds())
	l.updated = now
	l.longWork *= decay
	l.shortWork *= decay
	work := float64(r.engineTime(speed, list[0].Capacity))
	if r.longPrompt(speed) {
		l.longWork += work
	} else {
		l.shortWork += work
	}
	ideal := float64(instances) * l.longWork / (l.longWork + l.shortWork)
	if l.total != instances || math.Abs(ideal-float64(l.longLane)) > laneHysteresis {
		l.longLane = int(math.Round(ideal))
		l.total = instances
	}
}

// longLaneSize returns the number of instances in the long lane. Each lane has at least
// one if there are at least two instances.
func (l *lanes) longLaneSize(instances int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(min(l.longLane, instances-1), min(1, instances-1))
}

// sortByHash returns the instances sorted by hash, an order that all routers agree on.
func sortByHash(list []*instance) []*instance {
	out := slices.Clone(list)
	slices.SortFunc(out, func(a, b *instance) int { return cmp.Compare(a.hash, b.hash) })
	return out
}
