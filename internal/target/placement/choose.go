package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// missingWeight is how much worse it is to read a shared token again than to wait
	// for one that is being read: both take the same time, but reading costs twice.
	missingWeight = 2
	// strangerWeight is how much worse it is to read shared tokens at an instance that
	// other routers would not choose for them either.
	strangerWeight = 1.5
	// runningTokens is the work, in prompt tokens, that one running request stands for.
	runningTokens = 300
	// failingTokens is the work that a certain failure stands for.
	failingTokens = 40000
	// fullTokens is the work that the lack of memory stands for.
	fullTokens = 20000
	// closedTokens is the work that an open breaker stands for; such an instance is
	// chosen only if there is no other.
	closedTokens = 1e9
)

// candidate is an instance with what is known of it at the moment of the choice.
type candidate struct {
	instance *instance
	view     view
	rank     uint64 // in the order of the request's deepest shared part
	astray   bool   // in the lane for other requests
}

// choose returns the instance with the least cost, or nil.
func (p *Placement) choose(s *service, d Demand, now time.Time) *instance {
	candidates := p.candidates(s, d, now)
	first, second := leaders(candidates)
	var best *instance
	lowest := math.Inf(1)
	for n, c := range candidates {
		weight := strangerWeight
		switch n {
		case first:
			// What is read here is read for the other routers too.
			weight = 0
		case second:
			weight = 1
		}
		if cost := c.cost(d, weight); cost < lowest {
			best, lowest = c.instance, cost
		}
	}
	return best
}

// candidates looks at the instances that take requests and that this one was not sent
// to, from a random one on, which decides between equals.
func (p *Placement) candidates(s *service, d Demand, now time.Time) []candidate {
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
		c := candidate{instance: i, view: i.look(d, now)}
		c.astray = d.EventGap > 0 && d.long() != (at < split)
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

// cost estimates, in prompt tokens, what the request waits for and costs at an instance.
func (c candidate) cost(d Demand, weight float64) float64 {
	v := c.view
	cost := v.reading + runningTokens*v.running + failingTokens*v.failing + d.wayCost(v.trip)
	cost += missingWeight * weight * float64(v.missing)
	if d.CacheTokens > 0 && v.tokens+d.Input+d.MaxOutput > d.CacheTokens {
		cost += fullTokens
	}
	if c.astray {
		cost += wrongLaneTokens
	}
	if !v.open {
		cost += closedTokens
	}
	return cost
}
