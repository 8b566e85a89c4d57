package health

import "time"

const (
	failureThreshold = 3
	leastBackoff     = 500 * time.Millisecond
	mostBackoff      = 15 * time.Second
)

//go:generate ../../../bin/stringer -type=BreakerState -linecomment

// BreakerState tells what new work a target may get.
type BreakerState int

// The states of a breaker.
const (
	Closed   BreakerState = iota // closed
	Open                         // open
	HalfOpen                     // half_open
)

// Breaker ejects a target that fails and lets it back after a probe.
type Breaker struct {
	state    BreakerState
	failures int // in a row
	backoff  time.Duration
	until    time.Time
	ejected  int64
}

// State returns the state of the breaker.
func (b *Breaker) State() BreakerState { return b.state }

// Ejections returns how often the target was ejected.
func (b *Breaker) Ejections() int64 { return b.ejected }

// Allows reports whether a target with that many outstanding requests may get another.
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
	return b.state == Open && !now.Before(b.until)
}

// Until returns when an ejected target is probed.
func (b *Breaker) Until() time.Time { return b.until }

// Probed takes in the outcome of a probe of an ejected target.
func (b *Breaker) Probed(now time.Time, ok bool) {
	if b.state != Open {
		return
	}
	if ok {
		b.state = HalfOpen
		return
	}
	b.open(now)
}

// Succeeded takes in an attempt that went well.
func (b *Breaker) Succeeded() {
	if b.state == Open {
		// A stream that began before the ejection proves nothing about new work.
		return
	}
	b.state = Closed
	b.failures = 0
	b.backoff = 0
}

// Failed takes in a failed attempt; a hard failure, such as a refused connection, ejects at once.
func (b *Breaker) Failed(now time.Time, hard bool) {
	b.failures++
	if b.state == Open {
		return
	}
	if hard || b.state == HalfOpen || b.failures >= failureThreshold {
		b.ejected++
		b.open(now)
	}
}

func (b *Breaker) open(now time.Time) {
	b.state = Open
	b.backoff = min(max(2*b.backoff, leastBackoff), mostBackoff)
	b.until = now.Add(b.backoff)
}
