package queue

import (
	"container/list"
	"time"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/pool"
)

// Ticket describes one attempt that needs a place at a target.
type Ticket struct {
	// Workspace is the workspace that is charged for the place.
	Workspace string
	// Weight is the workspace's share relative to the others; values below 1 count as 1.
	Weight int64
	// Demand describes the targets that can serve the request and its cost in tokens.
	Demand pool.Demand
}

// retry reports whether an earlier attempt of the request was sent to a target.
func (t Ticket) retry() bool { return len(t.Demand.Exclude) > 0 }

// waiter is a queued ticket.
type waiter struct {
	ticket   Ticket
	deadline time.Time // of the caller; zero without one
	arrival  uint64    // position in the order of arrival, from 1
	enqueued time.Time
	cost     float64       // estimated tokens, at least 1
	element  *list.Element // in the list of its class; nil once the waiter has left the queue
	outcome  chan outcome  // receives one value, unless the caller cancels first
}

// outcome is the end of a wait: either a place or a refusal.
type outcome struct {
	place   *pool.Place
	refusal *answer.Error
}

// Waiting is the first waiter of a workspace and class, as compared by
// Queues.Before.
type Waiting struct {
	w   *waiter
	f   *flow
	tag float64 // see heads
}

// Urgent reports whether the request is of the urgent class.
func (w Waiting) Urgent() bool { return w.w.ticket.Demand.Urgent }

// Number returns the request's position in the order of arrival.
func (w Waiting) Number() uint64 { return w.w.arrival }

// Tag returns the workspace's virtual time, less the head start if the request is
// urgent.
func (w Waiting) Tag() float64 { return w.tag }

// ByTag reports whether a precedes b in the weighted fair order: by tag, and by
// arrival between equal tags.
func ByTag(a, b Waiting) bool {
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.Number() < b.Number()
}

// ByArrival reports whether a arrived before b.
func ByArrival(a, b Waiting) bool { return a.Number() < b.Number() }
