package pool

import (
	"sync"
	"time"
)

const gapWindow = 16 // tokens over which the time between tokens is averaged

//go:generate ../../../bin/stringer -type=Outcome -linecomment

// Outcome is what an attempt shows about its target.
type Outcome int

// The outcomes of an attempt.
const (
	Succeeded   Outcome = iota // succeeded
	Declined                   // declined
	Unreachable                // unreachable
	Failed                     // failed
	Cancelled                  // cancelled
)

// Place is the right to send one request to a target.
type Place struct {
	// OnRelease is called once when the place is given back, with the tokens used
	// and how long the place was held.
	OnRelease func(used int64, held time.Duration)

	pool   *Pool
	target *target
	demand Demand
	taken  time.Time

	mu       sync.Mutex // guards the fields below
	released bool
	used     int64
	tokens   int64     // seen so far
	windowed time.Time // when the current window of tokens began
}

// Addr returns the target's IP address and port.
func (p *Place) Addr() string { return p.target.addr }

// Go runs f on one of the target's workers, gives the place back when f returns,
// and reports whether f was accepted.
func (p *Place) Go(f func()) bool {
	_, ok := p.target.workers.TrySubmit(func() {
		defer p.Release()
		f()
	})
	if !ok {
		p.Release()
	}
	return ok
}

// Token takes in that the target has sent one token of the answer.
func (p *Place) Token() {
	now := time.Now()
	p.mu.Lock()
	p.tokens++
	n, since := p.tokens, p.windowed
	window := n == 1 || (n-1)%gapWindow == 0
	if window {
		p.windowed = now
	}
	p.mu.Unlock()
	p.target.mu.Lock()
	defer p.target.mu.Unlock()
	p.target.progress.Event(now)
	switch {
	case n == 1 && p.demand.Urgent:
		p.target.limit.FirstToken(now, now.Sub(p.taken), p.target.outstanding)
	case n > 1 && window:
		p.target.limit.TokenGap(now, now.Sub(since)/gapWindow, p.target.outstanding)
	}
}

// Used takes in how many tokens the request has used.
func (p *Place) Used(tokens int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used = tokens
}

// Report takes in how the attempt ended.
func (p *Place) Report(o Outcome) {
	now := time.Now()
	t := p.target
	t.mu.Lock()
	before := t.breaker.Ejections()
	switch o {
	case Succeeded:
		t.breaker.Succeeded()
		t.limit.Done(now, t.outstanding)
	case Declined:
		t.limit.Declined(now, t.outstanding)
		t.breaker.Failed(now, false)
	case Unreachable:
		t.breaker.Failed(now, true)
	case Failed:
		t.breaker.Failed(now, false)
	}
	ejected := t.breaker.Ejections() > before
	t.mu.Unlock()
	if ejected {
		p.pool.ejected(t)
	}
}

// Release gives the place back; only the first call counts.
func (p *Place) Release() {
	p.mu.Lock()
	again := p.released
	p.released = true
	used := p.used
	p.mu.Unlock()
	if again {
		return
	}
	p.target.release(p.demand)
	if p.OnRelease != nil {
		p.OnRelease(used, time.Since(p.taken))
	}
	p.pool.room(p.target)
}
