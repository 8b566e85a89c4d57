package forward

import (
	"time"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/placement"
)

//go:generate ../../../bin/stringer -type=Event -linecomment

// Event says what was decided about a request.
type Event int

// The decisions about a request.
const (
	// Refused requests got a final answer of the router's own.
	Refused Event = iota // request_refused
	// Sent attempts went to an instance.
	Sent // attempt_sent
	// Ended attempts came to an end other than a good answer.
	Ended // attempt_ended
	// Repeated requests are sent again, or their stream goes on elsewhere.
	Repeated // request_repeated
	// NotRepeated requests could have been sent again, but were not.
	NotRepeated // repeat_denied
	// Answered requests got a target's answer.
	Answered // request_answered
	// Abandoned requests were left by their callers.
	Abandoned // request_abandoned
	// Broken answers were cut off in their middle.
	Broken // answer_broken
	// TokensDenied requests got no tokens of their workspace.
	TokensDenied // tokens_denied
)

// Decision is one decision about a request, with what decided it.
type Decision struct {
	// Event says what was decided.
	Event Event
	// Request is whose it is.
	Request *Request
	// Route, Service and Workspace name what the request was found to belong to.
	Route, Service, Workspace string
	// PlanVersion is the version of the routing plan that decided.
	PlanVersion uint64
	// Instance and Addr are those of the attempt, if the decision is about one.
	Instance, Addr string
	// Reason is what chose the instance of an attempt that is sent.
	Reason placement.Reason
	// Attempt counts the attempts of the request from 1.
	Attempt int
	// Outcome is how the attempt ended.
	Outcome placement.Outcome
	// Run is what is known of whether the request ran.
	Run answer.RunState
	// Status is the status of the answer.
	Status int
	// Refusal is the router's own answer, if it gave one.
	Refusal *answer.Error
	// Err is the cause of a failure.
	Err error
	// Tokens are wanted or reserved, or used once the request has ended.
	Tokens int64
	// Events is the number of events that were relayed.
	Events int64
	// Took is the time since the request arrived, and FirstEvent until its answer began.
	Took, FirstEvent time.Duration
}

// decide tells of a decision.
func (f *Forwarder) decide(d Decision) {
	if f.OnDecision == nil {
		return
	}
	d.Took = time.Since(d.Request.Arrived)
	f.OnDecision(d)
}

// note tells of a decision about the request at work.
func (w *work) note(d Decision) {
	d.Request = w.r
	d.Route, d.Service = w.route.Name, w.service.Name
	if w.workspace != nil {
		d.Workspace = w.workspace.Name
	}
	d.PlanVersion = w.plan.Version()
	d.Attempt = w.attempts
	w.f.decide(d)
}
