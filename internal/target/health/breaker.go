package health

import "time"

const (
	failureThreshold = 3 // consecutive soft failures that eject a target
	minBackoff       = 500 * time.Millisecond
	maxBackoff       = 15 * time.Second
)

//go:generate ../../../bin/stringer -type=BreakerState -linecomment

// BreakerState is the state of a circuit breaker, which determines the new requests that a
// target may be sent.
type BreakerState int

// The states of a breaker. A closed breaker allows all requests, an open one none, and a
// half-open one a single request at a time.
const (
	Closed   BreakerState = iota // closed
	Open                         // open
	HalfOpen                     // half_open
)

// Breaker is a circuit breaker. It ejects a target that fails and readmits it after a
// successful probe, with exponential backoff between probes.
type Breaker struct {
	state               BreakerState
	consecutiveFailures int
	backoff             time.Duration // before the next probe; 0 while closed
	probeAt             time.Time
	ejections           int64 // failed probes not included
}

// State returns the state of the breaker.
func (b *Breaker) State() BreakerState { return b.state }

// Ejections returns the number of times that the target was ejected.
func (b *Breaker) Ejections() int64 { return b.ejections }

// Allows reports whether a target with the given number of outstanding requests may be sent
// another.
func (b *Breaker) Allows(outstanding int) bool {
	switch b.state {
	case Open:
		return false
	case HalfOpen:
		return outstanding == 0
	default:
		return true
	}
}

// ProbeDue reports whether an ejected target should be probed now.
func (b *Breaker) ProbeDue(now time.Time) bool {
	return b.state == Open && !now.Before(b.probeAt)
}

// ProbeAt returns the time from which an ejected target is probed.
func (b *Breaker) ProbeAt() time.Time { return b.probeAt }

// Probed records the result of a probe of an ejected target: success half-opens the breaker,
// failure doubles the backoff.
func (b *Breaker) Probed(now time.Time, ok bool) {
	if b.state != Open {
		return
	}
	if ok {
		b.state = HalfOpen
		return
	}
	b.eject(now)
}

// Succeeded records a successful attempt, which closes the breaker unless it is open.
func (b *Breaker) Succeeded() {
	if b.state == Open {
		// A stream that began before the ejection does not show that the target can serve
		// new requests.
		return
	}
	b.state = Closed
	b.consecutiveFailures = 0
	b.backoff = 0
}

// Failed records a failed attempt. A hard failure, such as a refused connection, ejects the
// target at once; so does any failure of a half-open breaker.
func (b *Breaker) Failed(now time.Time, hard bool) {
	b.consecutiveFailures++
	if b.state == Open {
		return
	}
	if hard || b.state == HalfOpen || b.consecutiveFailures >= failureThreshold {
		b.ejections++
		b.eject(now)
	}
}

// eject opens the breaker until the next probe and doubles the backoff within its bounds.
func (b *Breaker) eject(now time.Time) {
	b.state = Open
	b.backoff = min(max(2*b.backoff, minBackoff), maxBackoff)
	b.probeAt = now.Add(b.backoff)
}
