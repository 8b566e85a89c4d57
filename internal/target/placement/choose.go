package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// nonPreferredWeight multiplies the cost of prefilling shared tokens at an instance
	// that is neither the first nor the second choice for them. Other routers would not
	// choose it for these tokens either, so only this router can reuse the cached result.
	nonPreferredWeight = 1.5
	// stepsPerRunningRequest is the cost of each request running on an engine, in
	// decoding steps. Each running request makes every step longer.
	stepsPerRunningRequest = 1.5
	// minFailurePenalty is the lower bound of the failure penalty of a request.
	minFailurePenalty = 600 * time.Millisecond
	// penaltiesAtFullFailureRate is the number of failure penalties added for a failure
	// rate of 1. A single recent failure thus adds one penalty.
	penaltiesAtFullFailureRate = 1 / failureWeight
	// openBreakerCost is added for an instance whose breaker admits no request, so that
	// it is chosen only if no other instance remains.
	openBreakerCost = 24 * time.Hour
)

// failurePenalty returns the cost of failing the request, expressed as a delay.
func (r Requirements) failurePenalty() time.Duration { return max(minFailurePenalty, r.LatencyGoal) }

// reprefillShare returns the cost of prefilling shared tokens again, as a fraction of the
// failure penalty. It is the fraction of the request's engine time spent on these tokens,
// time that the engine cannot give to other requests.
func (r Requirements) reprefillShare(tokens int64, speed EngineSpeed, capacity int) float64 {
	if tokens <= 0 {
		return 0
	}
	prefill := speed.prefillTime(float64(tokens))
	// The part lengths come from the caller and may add up to more than the prompt.
	return float64(prefill) / float64(max(prefill, r.engineTime(speed, capacity)))
}

// candidate is an instance that the request may be sent to, with its state at the time
// of the choice.
type candidate struct {
	instance  *instance
	snapshot  snapshot
	rank      uint64 // score for the affinity key; 0 if the request has no key
	wrongLane bool   // the instance belongs to the lane of the other prompt length
	cold      bool   // the instance is cold, and a share of it is free
}

// choose returns the instance with the lowest cost, or nil if no instance accepts the request.
func (p *Placement) choose(s *service, r Requirements, now time.Time) *instance {
	speed := s.estimator.speed()
	candidates := p.candidates(s, r, speed, now)
	first, second := preferred(candidates)
	var best *instance
	lowest := time.Duration(math.MaxInt64)
	for n, c := range candidates {
		prefillWeight := nonPreferredWeight
		switch n {
		case first:
			// All routers prefer this instance for the prefix, so they all reuse what it
			// prefills.
			prefillWeight = 0
		case second:
			prefillWeight = 1
		}
		if c.cold {
			// Its cache has to be filled anyway, and the few routers that may do so must not pass it over.
			prefillWeight = 0
		}
		if cost := c.cost(r, speed, prefillWeight); cost < lowest {
			best, lowest = c.instance, cost
		}
	}
	return best
}

// candidates returns the instances that accept requests and that this request was not
// sent to before. The list starts at a random instance, which breaks ties in cost.
func (p *Placement) candidates(s *service, r Requirements, speed EngineSpeed, now time.Time) []candidate {
	list := p.usable(s.instances, r)
	out := make([]candidate, 0, len(list))
	key, keyed := r.affinityKey()
	longLane := s.lanes.longLaneSize(len(list))
	if len(list) == 0 {
		return nil
	}
	offset := p.intN(len(list))
	withheld := false
	for n := range list {
		index := (n + offset) % len(list)
		i := list[index]
		if slices.Contains(r.Exclude, i.ID) || !i.acceptsRequests(now) {
			continue
		}
		if p.Warmup.Withheld(i.Service, i.ID, now) {
			withheld = true
			continue
		}
		c := candidate{instance: i, snapshot: i.snapshot(r, speed, now), cold: p.Warmup.Cold(i.Service, i.ID, now)}
		c.wrongLane = r.EventGapGoal > 0 && r.longPrompt(speed) != (index < longLane)
		if keyed {
			c.rank = rank(key, i)
		}
		out = append(out, c)
	}
	if withheld && len(out) > 0 {
		p.Warmup.Diverted()
	}
	return out
}

// preferred returns the indexes of the two highest-ranked candidates in the request's
// lane whose breakers admit a request; a missing one is -1. All routers compute the same
// two as far as they agree on which instances are healthy.
func preferred(candidates []candidate) (first, second int) {
	first, second = -1, -1
	for n, c := range candidates {
		if !c.snapshot.admits || c.rank == 0 || c.wrongLane {
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

// cost returns the estimated delay of the request at the instance, plus penalties
// expressed as delays. prefillWeight scales the penalty for shared tokens that the
// instance has not cached.
func (c candidate) cost(r Requirements, speed EngineSpeed, prefillWeight float64) time.Duration {
	s := c.snapshot
	cost := c.startDelay(r, speed) + r.rttCost(s.rtt)
	cost += scale(r.failurePenalty(), prefillWeight*r.reprefillShare(s.uncached, speed, c.instance.Capacity))
	cost += scale(r.failurePenalty(), penaltiesAtFullFailureRate*s.failureRate)
	if r.CacheTokens > 0 && s.reservedTokens+r.InputTokens+r.MaxOutputTokens > r.CacheTokens {
		cost += r.failurePenalty()
	}
	if c.wrongLane {
		cost += scale(r.EventGapGoal, wrongLanePenaltyGaps)
	}
	if !s.admits {
		cost += openBreakerCost
	}
	return cost
}

// startDelay estimates the time until the instance begins its answer: the prefill of
// this and earlier prompts, the slowdown by running requests, and the wait for free
// capacity, all at the speed of the instance.
func (c candidate) startDelay(r Requirements, speed EngineSpeed) time.Duration {
	s := c.snapshot
	unshared := float64(r.InputTokens - r.sharedTokens())
	delay := speed.prefillTime(s.pendingPrefill+unshared) + scale(speed.TokenInterval, stepsPerRunningRequest*s.running)
	capacity := float64(c.instance.Capacity)
	if excess := s.occupied + 1 - capacity; capacity > 0 && excess > 0 {
		delay += scale(speed.AttemptTime, excess/capacity)
	}
	return scale(delay, s.relativeDelay)
}

// scale returns d multiplied by factor.
func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
