package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// strangerWeight is how much worse it is to read shared tokens at an instance that
	// other routers would not choose for them either.
	strangerWeight = 1.5
	// runningSteps is how many steps of an engine one running request counts for, which
	// makes each step longer.
	runningSteps = 1.5
	// leastLoss is the delay that the loss of a request counts for at the least.
	leastLoss = 600 * time.Millisecond
	// failingLosses is how many losses a certain failure counts for; one failure of late
	// counts for one.
	failingLosses = 1 / failureWeight
	// closedCost is what an open breaker counts for; such an instance is chosen only if
	// there is no other.
	closedCost = 24 * time.Hour
)

// loss returns the delay that the loss of the request counts for.
func (d Demand) loss() time.Duration { return max(leastLoss, d.Goal) }

// reread returns what it costs to read shared tokens again, as a part of the loss of the
// request: the engine spends on them what it would have had for another request.
func (d Demand) reread(tokens int64, pace Pace, places int) float64 {
	if tokens <= 0 {
		return 0
	}
	again := pace.read(float64(tokens))
	// A caller may have told parts that are longer than the prompt.
	return float64(again) / float64(max(again, d.work(pace, places)))
}

// candidate is an instance with what is known of it at the moment of the choice.
type candidate struct {
	instance *instance
	view     view
	rank     uint64 // in the order of the request's deepest shared part
	astray   bool   // in the lane for other requests
}

// choose returns the instance with the least cost, or nil.
func (p *Placement) choose(s *service, d Demand, now time.Time) *instance {
	pace := s.learner.pace()
	candidates := p.candidates(s, d, pace, now)
	first, second := leaders(candidates)
	var best *instance
	lowest := time.Duration(math.MaxInt64)
	for n, c := range candidates {
		weight := strangerWeight
		switch n {
		case first:
			// What is read here is read for the other routers too.
			weight = 0
		case second:
			weight = 1
		}
		if cost := c.cost(d, pace, weight); cost < lowest {
			best, lowest = c.instance, cost
		}
	}
	return best
}

// candidates looks at the instances that take requests and that this one was not sent
// to, from a random one on, which decides between equals.
func (p *Placement) candidates(s *service, d Demand, pace Pace, now time.Time) []candidate {
	list := s.instances
	out := make([]candidate, 0, len(list))
	key, keyed := d.key()
	split := s.lanes.splitOf(len(list))
	offset := p.intN(len(list))
	for n := range list {
		at := (n + offset) % len(list)
		i := list[at]
		if slices.Contains(d.Exclude, i.ID) || !i.welcomes(now) {
			continue
		}
		c := candidate{instance: i, view: i.look(d, pace, now)}
		c.astray = d.EventGap > 0 && d.long(pace) != (at < split)
		if keyed {
			c.rank = rank(key, i)
		}
		out = append(out, c)
	}
	return out
}

// leaders returns the indexes of the first two in the order of ranks among those that
// may get requests; an index is negative if there is none. All routers agree on them
// as far as they agree on who is well.
func leaders(candidates []candidate) (first, second int) {
	first, second = -1, -1
	for n, c := range candidates {
		if !c.view.open || c.rank == 0 || c.astray {
			continue
		}
		switch {
		case first < 0 || c.rank > candidates[first].rank:
			first, second = n, first
		case second < 0 || c.rank > candidates[second].rank:
			second = n
		}
	}
	return first, second
}

// cost estimates the delay of the request at an instance, and what else its work there
// costs as if it were a delay.
func (c candidate) cost(d Demand, pace Pace, weight float64) time.Duration {
	v := c.view
	cost := c.wait(d, pace) + d.wayCost(v.trip)
	cost += scale(d.loss(), weight*d.reread(v.missing, pace, c.instance.Capacity))
	cost += scale(d.loss(), failingLosses*v.failing)
	if d.CacheTokens > 0 && v.tokens+d.Input+d.MaxOutput > d.CacheTokens {
		cost += d.loss()
	}
	if c.astray {
		cost += scale(d.EventGap, wrongLaneGaps)
	}
	if !v.open {
		cost += closedCost
	}
	return cost
}

// wait estimates how long the instance takes to begin the answer: what is read there
// before, what runs beside it, and the wait for a place.
func (c candidate) wait(d Demand, pace Pace) time.Duration {
	v := c.view
	own := float64(d.Input - d.sharedTokens())
	wait := pace.read(v.reading+own) + scale(pace.Step, runningSteps*v.running)
	places := float64(c.instance.Capacity)
	if over := v.occupied + 1 - places; places > 0 && over > 0 {
		wait += scale(pace.Stay, over/places)
	}
	return wait
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
