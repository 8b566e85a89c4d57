package queue

import (
	"container/list"
	"time"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/pool"
)

// Request describes one attempt that needs a slot at a target.
type Request struct {
	// Workspace is the workspace that is charged for the slot.
	Workspace string
	// Weight is the workspace's share relative to the others; values below 1 count as 1.
	Weight int64
	// Demand describes the targets that can serve the request and its cost in tokens.
	Demand pool.Requirements
}

// retry reports whether an earlier attempt of the request was sent to a target.
func (r Request) retry() bool { return len(r.Demand.Exclude) > 0 }

// waiter is a queued request.
type waiter struct {
	request  Request
	deadline time.Time // of the caller; zero without one
	arrival  uint64    // position in the order of arrival, from 1
	enqueued time.Time
	cost     float64       // estimated tokens, at least 1
	element  *list.Element // in the list of its class; nil once the waiter has left the queue
	outcome  chan outcome  // receives one value, unless the caller cancels first
}

// outcome is the end of a wait: either a slot or a refusal.
type outcome struct {
	slot    *pool.Slot
	refusal *answer.Error
}

// Candidate is the first waiter of a workspace and class, as compared by
// Queues.Less.
type Candidate struct {
	w   *waiter
	f   *flow
	tag float64 // see heads
}

// Urgent reports whether the request is of the urgent class.
func (c Candidate) Urgent() bool { return c.w.request.Demand.Urgent }

// Arrival returns the request's position in the order of arrival.
func (c Candidate) Arrival() uint64 { return c.w.arrival }

// Tag returns the workspace's virtual time, less the head start if the request is
// urgent.
func (c Candidate) Tag() float64 { return c.tag }

// FairOrder reports whether a precedes b in the weighted fair order: by tag, and by
// arrival between equal tags.
func FairOrder(a, b Candidate) bool {
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.Arrival() < b.Arrival()
}

// ArrivalOrder reports whether a arrived before b.
func ArrivalOrder(a, b Candidate) bool { return a.Arrival() < b.Arrival() }
