package pool

import (
	"time"

	"rosevalve/internal/target/balance"
)

// maxReserveTries bounds the attempts to reserve a slot when concurrent requests take the
// chosen ones.
const maxReserveTries = 4

// Reserve reserves a slot for the request at one of the targets that serve it.
//
// The error is ErrNoTarget if no target is usable, so that waiting for a free slot does
// not help, and ErrNoFreeSlot if all usable targets are full.
func (p *Pool) Reserve(r Requirements) (*Slot, error) {
	now := time.Now()
	for range maxReserveTries {
		targets, candidates, err := p.candidates(r, now)
		if err != nil {
			return nil, err
		}
		i := p.choose(r.Prefix, float64(r.Tokens), candidates)
		if i < 0 {
			return nil, ErrNoFreeSlot
		}
		if targets[i].admit(r, now) {
			return &Slot{pool: p, target: targets[i], requirements: r, reservedAt: now}, nil
		}
	}
	return nil, ErrNoFreeSlot
}

// candidates returns the usable targets for the request and, at the same indexes, their
// balancer candidates. Stalled engines are returned only if all usable engines are stalled.
func (p *Pool) candidates(r Requirements, now time.Time) ([]*target, []balance.Candidate, error) {
	all := p.current().targetsFor(r)
	targets := make([]*target, 0, len(all))
	candidates := make([]balance.Candidate, 0, len(all))
	var stalledTargets []*target
	var stalledCandidates []balance.Candidate
	for _, t := range all {
		c, usable, stalled := t.candidate(r, now)
		switch {
		case !usable || r.Exclude[t.addr]:
			continue
		case stalled && r.Service == "":
			stalledTargets = append(stalledTargets, t)
			stalledCandidates = append(stalledCandidates, c)
		default:
			targets = append(targets, t)
			candidates = append(candidates, c)
		}
	}
	if len(targets) == 0 {
		targets, candidates = stalledTargets, stalledCandidates
	}
	if len(targets) == 0 {
		return nil, nil, ErrNoTarget
	}
	return targets, candidates, nil
}

// choose returns the index of the candidate for the request, or -1 if none has a free slot. The
// cost is the number of tokens that the request can use.
func (p *Pool) choose(prefix uint64, cost float64, candidates []balance.Candidate) int {
	if p.Choose != nil {
		return p.Choose(prefix, cost, candidates)
	}
	return balance.Chooser{MaxLoadRatio: p.maxLoadRatio()}.Choose(prefix, cost, candidates)
}

// Slots returns the sum of the concurrency limits of the usable targets for the request.
func (p *Pool) Slots(r Requirements) int {
	n := 0
	for _, t := range p.current().targetsFor(r) {
		t.mu.Lock()
		if t.usable() {
			n += t.limit.Value()
		}
		t.mu.Unlock()
	}
	return n
}

// ProbeDelay returns the time until the next probe of an ejected target for the request, or zero
// if none is ejected.
func (p *Pool) ProbeDelay(r Requirements) time.Duration {
	var soonest time.Duration
	for _, t := range p.current().targetsFor(r) {
		t.mu.Lock()
		due := time.Until(t.breaker.ProbeAt())
		ejected := !t.leaving() && !t.usable()
		t.mu.Unlock()
		if ejected && (soonest == 0 || due < soonest) {
			soonest = max(due, time.Millisecond)
		}
	}
	return soonest
}
