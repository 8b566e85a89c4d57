package pool

import (
	"sync"
	"time"
)

const tokenGapWindow = 16 // number of tokens over which the gap between tokens is averaged

//go:generate ../../../bin/stringer -type=Outcome -linecomment

// Outcome classifies the end of an attempt by what it shows about the target.
type Outcome int

// The outcomes of an attempt. Declined means that the target refused the request without
// running it, Unreachable that no connection was possible, and Cancelled that the end shows
// nothing about the target.
const (
	Succeeded   Outcome = iota // succeeded
	Declined                   // declined
	Unreachable                // unreachable
	Failed                     // failed
	Cancelled                  // cancelled
)

// Slot is the reservation of a target for one request. It must be released.
type Slot struct {
	// OnRelease is called once when the place is released, with the number of tokens
	// used and the time that the place was held.
	OnRelease func(used int64, held time.Duration)

	pool       *Pool
	target     *target
	demand     Requirements
	reservedAt time.Time

	mu          sync.Mutex // guards the fields below
	released    bool
	usedTokens  int64     // as last set by Used
	tokenCount  int64     // tokens of the answer received so far
	windowStart time.Time // start of the current token gap window
}

// Addr returns the target's IP address and port.
func (p *Slot) Addr() string { return p.target.addr }

// Submit runs f on one of the target's workers and releases the place when f returns. It
// reports whether a worker accepted f; if none did, the place is released at once.
func (p *Slot) Submit(f func()) bool {
	_, ok := p.target.workers.TrySubmit(func() {
		defer p.Release()
		f()
	})
	if !ok {
		p.Release()
	}
	return ok
}

// ObserveToken records that the target has sent one token of the answer.
func (p *Slot) ObserveToken() {
	now := time.Now()
	p.mu.Lock()
	p.tokenCount++
	n, windowStart := p.tokenCount, p.windowStart
	windowDone := n == 1 || (n-1)%tokenGapWindow == 0
	if windowDone {
		p.windowStart = now
	}
	p.mu.Unlock()
	p.target.mu.Lock()
	defer p.target.mu.Unlock()
	p.target.progress.Event(now)
	switch {
	case n == 1 && p.demand.Urgent:
		p.target.limit.ObserveFirstToken(now, now.Sub(p.reservedAt), p.target.outstanding)
	case n > 1 && windowDone:
		p.target.limit.ObserveTokenGap(now, now.Sub(windowStart)/tokenGapWindow, p.target.outstanding)
	}
}

// SetUsedTokens sets the number of tokens that the request has used in total.
func (p *Slot) SetUsedTokens(tokens int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usedTokens = tokens
}

// SetOutcome updates the target's limit and breaker with the outcome of the attempt.
func (p *Slot) SetOutcome(o Outcome) {
	now := time.Now()
	t := p.target
	t.mu.Lock()
	before := t.breaker.Ejections()
	switch o {
	case Succeeded:
		t.breaker.Succeeded()
		t.limit.ObserveDone(now, t.outstanding)
	case Declined:
		t.limit.ObserveDecline(now, t.outstanding)
		t.breaker.Failed(now, false)
	case Unreachable:
		t.breaker.Failed(now, true)
	case Failed:
		t.breaker.Failed(now, false)
	}
	ejected := t.breaker.Ejections() > before
	t.mu.Unlock()
	if ejected {
		p.pool.recordEjection(t)
	}
}

// Release frees the place. Later calls have no effect.
func (p *Slot) Release() {
	p.mu.Lock()
	alreadyReleased := p.released
	p.released = true
	used := p.usedTokens
	p.mu.Unlock()
	if alreadyReleased {
		return
	}
	p.target.release(p.demand)
	if p.OnRelease != nil {
		p.OnRelease(used, time.Since(p.reservedAt))
	}
	p.pool.notifyRoom(p.target)
}
