package queue

import (
	"container/list"
	"time"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/pool"
)

// Ticket is a request for a place at a target.
type Ticket struct {
	// Workspace is the team whose share is used.
	Workspace string
	// Weight is the workspace's share relative to the others.
	Weight int64
	// Demand is what the request asks of a target.
	Demand pool.Demand
}

// retry reports whether the request has been sent to a target before.
func (t Ticket) retry() bool { return len(t.Demand.Exclude) > 0 }

// waiter is a ticket in a queue.
type waiter struct {
	ticket   Ticket
	deadline time.Time // zero if there is none
	number   uint64    // in order of arrival
	since    time.Time
	cost     float64
	element  *list.Element // nil once the waiter has left the queue
	outcome  chan outcome  // receives one value, unless the waiter leaves by itself
}

// outcome is a place or a refusal.
type outcome struct {
	place   *pool.Place
	refusal *answer.Error
}

// Waiting describes the first waiter of a workspace and class to the order.
type Waiting struct {
	w   *waiter
	f   *flow
	tag float64
}

// Urgent reports whether the request goes before long work.
func (w Waiting) Urgent() bool { return w.w.ticket.Demand.Urgent }

// Number returns the place in the order of arrival.
func (w Waiting) Number() uint64 { return w.w.number }

// Tag returns the workspace's virtual time, less the head start of urgent requests.
func (w Waiting) Tag() float64 { return w.tag }

// ByTag is the weighted fair order with a head start for urgent requests.
func ByTag(a, b Waiting) bool {
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.Number() < b.Number()
}

// ByArrival is the order of arrival.
func ByArrival(a, b Waiting) bool { return a.Number() < b.Number() }
