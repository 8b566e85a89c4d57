package pool

import (
	"time"

	"rosevalve/internal/target/balance"
)

// maxPickTries bounds the attempts to reserve a place when concurrent requests take the
// chosen ones.
const maxPickTries = 4

// Reserve reserves a place for the request at one of the targets that serve it.
//
// The error is ErrNoTarget if no target is usable, so that waiting for a free place does
// not help, and ErrNoRoom if all usable targets are full.
func (p *Pool) Reserve(d Requirements) (*Slot, error) {
	now := time.Now()
	for range maxPickTries {
		targets, candidates, err := p.candidates(d, now)
		if err != nil {
			return nil, err
		}
		i := p.choose(d.Prefix, float64(d.Tokens), candidates)
		if i < 0 {
			return nil, ErrNoFreeSlot
		}
		if targets[i].admit(d, now) {
			return &Slot{pool: p, target: targets[i], demand: d, reservedAt: now}, nil
		}
	}
	return nil, ErrNoFreeSlot
}

// candidates returns the usable targets for the request and, at the same indexes, their
// balancer candidates. Silent engines are returned only if all usable engines are silent.
func (p *Pool) candidates(d Requirements, now time.Time) ([]*target, []balance.Candidate, error) {
	all := p.current().targetsFor(d)
	targets := make([]*target, 0, len(all))
	candidates := make([]balance.Candidate, 0, len(all))
	var silentTargets []*target
	var silentCandidates []balance.Candidate
	for _, t := range all {
		c, usable, silent := t.candidate(d, now)
		switch {
		case !usable || d.Exclude[t.addr]:
			continue
		case silent && d.Service == "":
			silentTargets = append(silentTargets, t)
			silentCandidates = append(silentCandidates, c)
		default:
			targets = append(targets, t)
			candidates = append(candidates, c)
		}
	}
	if len(targets) == 0 {
		targets, candidates = silentTargets, silentCandidates
	}
	if len(targets) == 0 {
		return nil, nil, ErrNoTarget
	}
	return targets, candidates, nil
}

// choose returns the index of the candidate for the request, or -1 if none has room. The
// cost is the number of tokens that the request can use.
func (p *Pool) choose(prefix uint64, cost float64, candidates []balance.Candidate) int {
	if p.Choose != nil {
		return p.Choose(prefix, cost, candidates)
	}
	return balance.Chooser{MaxLoadRatio: p.loadBound()}.Choose(prefix, cost, candidates)
}

// Slots returns the sum of the concurrency limits of the usable targets for the request.
func (p *Pool) Slots(d Requirements) int {
	n := 0
	for _, t := range p.current().targetsFor(d) {
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
func (p *Pool) ProbeDelay(d Requirements) time.Duration {
	var soonest time.Duration
	for _, t := range p.current().targetsFor(d) {
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
