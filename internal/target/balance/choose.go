package balance

import "math/rand/v2"

// maxAffinityTries bounds how far a prefix strays from its first target.
const maxAffinityTries = 3

// Candidate is a target as the choice sees it.
type Candidate struct {
	// Hash identifies the target.
	Hash uint64
	// Load is the outstanding work in tokens.
	Load float64
	// Room reports whether the target may get another request.
	Room bool
	// Cached reports that the target is believed to hold the request's prefix.
	Cached bool
}

// Chooser picks a target for a request.
type Chooser struct {
	// LoadBound is how far above the mean load a target may be and still be
	// chosen for its cached prefix; zero switches affinity off.
	LoadBound float64
	// Rand returns a random number below n.
	Rand func(n int) int
}

// Choose returns the index of the target for a request with the prefix, or -1 if none has room.
func (c Chooser) Choose(prefix uint64, cost float64, candidates []Candidate) int {
	if prefix != 0 && c.LoadBound > 0 {
		if i := c.affine(prefix, cost, candidates); i >= 0 {
			return i
		}
	}
	return c.twoChoices(candidates)
}

// affine returns the first target in the prefix's own order whose load is within the bound, or -1.
func (c Chooser) affine(prefix uint64, cost float64, candidates []Candidate) int {
	bound := c.bound(cost, candidates)
	tried := make([]bool, len(candidates))
	for range maxAffinityTries {
		i := best(prefix, candidates, tried)
		if i < 0 {
			return -1
		}
		if candidates[i].Room && candidates[i].Load <= bound {
			return i
		}
		tried[i] = true
	}
	return -1
}

// bound is the largest load that affinity may choose: the mean after the request, times the bound.
func (c Chooser) bound(cost float64, candidates []Candidate) float64 {
	sum := cost
	for _, t := range candidates {
		sum += t.Load
	}
	return c.LoadBound * sum / float64(len(candidates))
}

// best returns the untried target that comes first in the prefix's order; believed holders come before others.
func best(prefix uint64, candidates []Candidate, tried []bool) int {
	out := -1
	var highest uint64
	for i, t := range candidates {
		if tried[i] {
			continue
		}
		score := Mix(prefix, t.Hash) >> 1
		if t.Cached {
			score |= 1 << 63
		}
		if out < 0 || score > highest {
			out, highest = i, score
		}
	}
	return out
}

// twoChoices returns the less loaded of two random targets with room, or -1.
func (c Chooser) twoChoices(candidates []Candidate) int {
	first := c.random(candidates, -1)
	if first < 0 {
		return -1
	}
	second := c.random(candidates, first)
	if second >= 0 && candidates[second].Load < candidates[first].Load {
		return second
	}
	return first
}

// random returns a random target with room other than the excluded one, or -1.
func (c Chooser) random(candidates []Candidate, exclude int) int {
	n := 0
	for i, t := range candidates {
		if t.Room && i != exclude {
			n++
		}
	}
	if n == 0 {
		return -1
	}
	skip := c.intN(n)
	for i, t := range candidates {
		if !t.Room || i == exclude {
			continue
		}
		if skip == 0 {
			return i
		}
		skip--
	}
	return -1
}

func (c Chooser) intN(n int) int {
	if c.Rand == nil {
		return rand.IntN(n)
	}
	return c.Rand(n)
}

// Mix joins two hashes to one.
func Mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}
