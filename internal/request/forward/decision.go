package forward

import (
	"cmp"
	"time"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/placement"
)

//go:generate ../../../bin/stringer -type=DecisionKind -linecomment

// DecisionKind is the kind of a decision about a request.
type DecisionKind int

// The kinds of decisions.
const (
	// Refused means that the router itself gave the final answer, which is an error.
	Refused DecisionKind = iota // request_refused
	// AttemptSent means that an attempt is being sent to an instance.
	AttemptSent // attempt_sent
	// AttemptFailed means that an attempt failed: it got no answer, an answer that is not
	// relayed, or a stream that broke off.
	AttemptFailed // attempt_ended
	// Retried means that the request is retried, or its stream resumed, by another attempt.
	Retried // request_repeated
	// RetryDenied means that the retry budget did not allow another attempt.
	RetryDenied // repeat_denied
	// Answered means that a target gave a complete answer.
	Answered // request_answered
	// Abandoned means that the caller disconnected before the end of the answer.
	Abandoned // request_abandoned
	// CutOff means that the router stopped before the answer to the caller was complete.
	CutOff // request_cut_off
	// AnswerTruncated means that the answer to the caller ended before it was complete.
	AnswerTruncated // answer_broken
	// TokensDenied means that no tokens could be reserved from the workspace's budget.
	TokensDenied // tokens_denied
)

// Decision describes one decision about a request and the facts it is based on.
type Decision struct {
	// Kind is the kind of the decision.
	Kind DecisionKind
	// Request is the request that the decision is about.
	Request *Request
	// Route, Service and Workspace are the names that the request was resolved to; empty if
	// they were not determined.
	Route, Service, Workspace string
	// PlanVersion is the version of the routing plan that was applied.
	PlanVersion uint64
	// Instance and Addr identify the target of the attempt, for AttemptSent and
	// AttemptFailed.
	Instance, Addr string
	// Reason is the state of the instance when it was chosen, for AttemptSent.
	Reason placement.InstanceState
	// Attempt is the number of the attempt, for AttemptFailed, and otherwise how many there were.
	Attempt int
	// Outcome is the result of the attempt, for AttemptFailed.
	Outcome placement.Outcome
	// Run is what is known about whether the request ran at a target.
	Run answer.RunState
	// Status is the HTTP status of the answer.
	Status int
	// Refusal is the router's own answer; nil if it gave none.
	Refusal *answer.Error
	// Err is the cause of a failure; nil if there is none.
	Err error
	// Ending is the reason why the request ended without a complete answer, for AnswerTruncated, CutOff,
	// Abandoned and, after an attempt, Refused; EndingNone for others.
	Ending Ending
	// TokenCount is the number of tokens that were requested (TokensDenied), reserved
	// (AttemptSent) or, once the request has ended, used.
	TokenCount int64
	// RelayedEvents is the number of stream events that were relayed to the caller.
	RelayedEvents int64
	// Elapsed is the time from the arrival of the request to the decision, and TimeToAnswer
	// that to the beginning of its answer.
	Elapsed, TimeToAnswer time.Duration
}

// report completes d with the time elapsed and passes it to OnDecision.
func (f *Forwarder) report(d Decision) {
	if f.OnDecision == nil {
		return
	}
	d.Elapsed = time.Since(d.Request.Arrived)
	f.OnDecision(d)
}

// report completes d with the facts of the request and passes it to OnDecision. It must not be called
// by several goroutines at once.
func (ar *activeRequest) report(d Decision) {
	d.Request = ar.r
	d.Route, d.Service = ar.route.Name, ar.service.Name
	if ar.workspace != nil {
		d.Workspace = ar.workspace.Name
	}
	d.PlanVersion = ar.plan.Version()
	d.Attempt = cmp.Or(d.Attempt, ar.attempts)
	ar.history.observe(d)
	ar.f.report(d)
}
