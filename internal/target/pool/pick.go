package pool

import (
	"time"

	"rosevalve/internal/target/balance"
)

// maxPickTries bounds how often a choice is repeated because another request took the place.
const maxPickTries = 4

// Pick reserves a place for the request.
//
// The errors are ErrNoTarget, if waiting is of no use, and ErrNoRoom.
func (p *Pool) Pick(d Demand) (*Place, error) {
	now := time.Now()
	for range maxPickTries {
		targets, candidates, err := p.candidates(d, now)
		if err != nil {
			return nil, err
		}
		i := p.choose(d.Prefix, float64(d.Tokens), candidates)
		if i < 0 {
			return nil, ErrNoRoom
		}
		if targets[i].take(d, now) {
			return &Place{pool: p, target: targets[i], demand: d, taken: now}, nil
		}
	}
	return nil, ErrNoRoom
}

// candidates returns the targets that may get the request, silent ones only if there are no others.
func (p *Pool) candidates(d Demand, now time.Time) ([]*target, []balance.Candidate, error) {
	all := p.current().serving(d)
	targets := make([]*target, 0, len(all))
	candidates := make([]balance.Candidate, 0, len(all))
	var silentTargets []*target
	var silentCandidates []balance.Candidate
	for _, t := range all {
		c, usable, silent := t.view(d, now)
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

func (p *Pool) choose(prefix uint64, cost float64, candidates []balance.Candidate) int {
	if p.Choose != nil {
		return p.Choose(prefix, cost, candidates)
	}
	return balance.Chooser{LoadBound: p.loadBound()}.Choose(prefix, cost, candidates)
}

// Places returns how many requests like this one the usable targets are given at a time.
func (p *Pool) Places(d Demand) int {
	n := 0
	for _, t := range p.current().serving(d) {
		t.mu.Lock()
		if t.usable() {
			n += t.limit.Value()
		}
		t.mu.Unlock()
	}
	return n
}

// ProbeIn returns when the first ejected target for the request is asked again, or zero if none is ejected.
func (p *Pool) ProbeIn(d Demand) time.Duration {
	var first time.Duration
	for _, t := range p.current().serving(d) {
		t.mu.Lock()
		due := time.Until(t.breaker.Until())
		open := !t.leaving() && !t.usable()
		t.mu.Unlock()
		if open && (first == 0 || due < first) {
			first = max(due, time.Millisecond)
		}
	}
	return first
}
