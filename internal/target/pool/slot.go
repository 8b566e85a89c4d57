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
	// OnRelease is called once when the slot is released, with the number of tokens
	// used and the time that the slot was held.
	OnRelease func(used int64, held time.Duration)

	pool         *Pool
	target       *target
	requirements Requirements
	reservedAt   time.Time

	mu          sync.Mutex // guards the fields below
	released    bool
	usedTokens  int64     // as last set by SetUsedTokens
	tokenCount  int64     // tokens of the answer received so far
	windowStart time.Time // start of the current token gap window
}

// Addr returns the target's IP address and port.
func (s *Slot) Addr() string { return s.target.addr }

// Submit runs f on one of the target's workers and releases the slot when f returns. It
// reports whether a worker accepted f; if none did, the slot is released at once.
func (s *Slot) Submit(f func()) bool {
	_, ok := s.target.workers.TrySubmit(func() {
		defer s.Release()
		f()
	})
	if !ok {
		s.Release()
	}
	return ok
}

// ObserveToken records that the target has sent one token of the answer.
func (s *Slot) ObserveToken() {
	now := time.Now()
	s.mu.Lock()
	s.tokenCount++
	n, windowStart := s.tokenCount, s.windowStart
	windowDone := n == 1 || (n-1)%tokenGapWindow == 0
	if windowDone {
		s.windowStart = now
	}
	s.mu.Unlock()
	s.target.mu.Lock()
	defer s.target.mu.Unlock()
	s.target.progress.Event(now)
	switch {
	case n == 1 && s.requirements.Urgent:
		s.target.limit.ObserveFirstToken(now, now.Sub(s.reservedAt), s.target.outstanding)
	case n > 1 && windowDone:
		s.target.limit.ObserveTokenGap(now, now.Sub(windowStart)/tokenGapWindow, s.target.outstanding)
	}
}

// SetUsedTokens sets the number of tokens that the request has used in total.
func (s *Slot) SetUsedTokens(tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usedTokens = tokens
}

// SetOutcome updates the target's limit and breaker with the outcome of the attempt.
func (s *Slot) SetOutcome(o Outcome) {
	now := time.Now()
	t := s.target
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
		s.pool.recordEjection(t)
	}
}

// Release frees the slot. Later calls have no effect.
func (s *Slot) Release() {
	s.mu.Lock()
	alreadyReleased := s.released
	s.released = true
	used := s.usedTokens
	s.mu.Unlock()
	if alreadyReleased {
		return
	}
	s.target.release(s.requirements)
	if s.OnRelease != nil {
		s.OnRelease(used, time.Since(s.reservedAt))
	}
	s.pool.notifyFreeSlot(s.target)
}
