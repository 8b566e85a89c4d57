package balance

import "math/rand/v2"

// maxAffinityTries is the number of highest-ranked targets considered for a prefix
// before the choice falls back to load alone. It limits the number of targets over
// which the requests of one prefix spread by affinity.
const maxAffinityTries = 3

// Candidate is the state of a target that Choose considers.
type Candidate struct {
	// Hash identifies the target in the ranking for a prefix; it is the Hash of its address.
	Hash uint64
	// Load is the outstanding work of the target in tokens.
	Load float64
	// HasSlot reports whether the target may be sent another request.
	HasSlot bool
	// PrefixCached reports whether the target probably has the request's prefix in its cache.
	PrefixCached bool
}

// Chooser selects a target for a request: by prefix affinity with bounded load, or the
// less loaded of two random targets.
type Chooser struct {
	// MaxLoadRatio is the maximum ratio of a target's load to the mean load, including the
	// request, at which affinity may select the target; zero disables affinity.
	MaxLoadRatio float64
	// Rand returns a random number in [0, n); nil selects math/rand/v2.
	Rand func(n int) int
}

// Choose returns the index of the candidate for a request, or -1 if no candidate has a
// free slot. The prefix is a hash of the request's prompt prefix, or zero to ignore
// affinity; the cost of the request is in tokens.
func (c Chooser) Choose(prefix uint64, cost float64, candidates []Candidate) int {
	if prefix != 0 && c.MaxLoadRatio > 0 {
		if i := c.chooseByAffinity(prefix, cost, candidates); i >= 0 {
			return i
		}
	}
	return c.chooseFromTwo(candidates)
}

// chooseByAffinity returns the highest-ranked candidate for the prefix with a free slot and a
// load within the limit, or -1 if none of the first maxAffinityTries qualifies.
func (c Chooser) chooseByAffinity(prefix uint64, cost float64, candidates []Candidate) int {
	limit := c.loadLimit(cost, candidates)
	tried := make([]bool, len(candidates))
	for range maxAffinityTries {
		i := bestUntried(prefix, candidates, tried)
		if i < 0 {
			return -1
		}
		if candidates[i].HasSlot && candidates[i].Load <= limit {
			return i
		}
		tried[i] = true
	}
	return -1
}

// loadLimit returns the maximum load of a target selected by affinity: MaxLoadRatio times
// the mean load including the request.
func (c Chooser) loadLimit(cost float64, candidates []Candidate) float64 {
	sum := cost
	for _, t := range candidates {
		sum += t.Load
	}
	return c.MaxLoadRatio * sum / float64(len(candidates))
}

// bestUntried returns the untried candidate that ranks highest for the prefix, or -1 if
// all were tried. Candidates with PrefixCached set rank above all others; within each group
// the rank is a hash of prefix and target, so all routers agree on it.
func bestUntried(prefix uint64, candidates []Candidate, tried []bool) int {
	bestIndex := -1
	var bestScore uint64
	for i, t := range candidates {
		if tried[i] {
			continue
		}
		score := Mix(prefix, t.Hash) >> 1
		if t.PrefixCached {
			score |= 1 << 63
		}
		if bestIndex < 0 || score > bestScore {
			bestIndex, bestScore = i, score
		}
	}
	return bestIndex
}

// chooseFromTwo returns the less loaded of two random candidates with a free slot, or -1 if
// none has a free slot.
func (c Chooser) chooseFromTwo(candidates []Candidate) int {
	first := c.randomWithSlot(candidates, -1)
	if first < 0 {
		return -1
	}
	second := c.randomWithSlot(candidates, first)
	if second >= 0 && candidates[second].Load < candidates[first].Load {
		return second
	}
	return first
}

// randomWithSlot returns a random candidate with a free slot other than the excluded one, or
// -1 if there is no such candidate.
func (c Chooser) randomWithSlot(candidates []Candidate, excluded int) int {
	n := 0
	for i, t := range candidates {
		if t.HasSlot && i != excluded {
			n++
		}
	}
	if n == 0 {
		return -1
	}
	skip := c.intN(n)
	for i, t := range candidates {
		if !t.HasSlot || i == excluded {
			continue
		}
		if skip == 0 {
			return i
		}
		skip--
	}
	return -1
}

// intN returns a random number in [0, n).
func (c Chooser) intN(n int) int {
	if c.Rand == nil {
		return rand.IntN(n)
	}
	return c.Rand(n)
}

// Mix combines two hashes into one. The result depends on the order of the arguments.
func Mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}
