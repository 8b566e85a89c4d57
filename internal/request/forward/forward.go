package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/budget/prepaid"
	"rosevalve/internal/fleet/drain"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/memory"
	"rosevalve/internal/request/quarantine"
	"rosevalve/internal/target/crash"
	"rosevalve/internal/target/placement"
	"rosevalve/internal/workspace/plan"
)

const (
	// startingRetryAfter is the Retry-After of a router that has no configuration yet.
	startingRetryAfter = 300 * time.Millisecond
	// outdatedRetryAfter is the Retry-After of a router that can't get a configuration that others have.
	outdatedRetryAfter = time.Second
	// overloadedRetryAfter is the Retry-After of a router that can't serve all requests in time.
	overloadedRetryAfter = time.Second
	// busyRetryAfter is the Retry-After when no instance can take the request.
	busyRetryAfter = 150 * time.Millisecond
	// evacuatedRetryAfter is the Retry-After when all targets are in evacuated failure domains. The operator takes an
	// evacuation back after minutes rather than seconds, but may do so at any moment.
	evacuatedRetryAfter = time.Second
	// stoppingRetryAfter is the Retry-After of a router that stops; other routers can take the
	// request at once.
	stoppingRetryAfter = 10 * time.Millisecond
	// stoppingCode is the code of answers to requests that a stop has refused or cut off.
	stoppingCode = "router_stopping"
	// EvacuatedCode is the code of answers to requests whose targets are all in evacuated failure domains.
	EvacuatedCode = "failure_domains_evacuated"
	// homesRetryAfter is the Retry-After when no target is in a home region of the request.
	homesRetryAfter = time.Second
	// homesCode is the code of answers to such requests.
	homesCode = "no_home_region"
	// maxTokensRetryAfter is the longest Retry-After when tokens could not be reserved.
	maxTokensRetryAfter = 2 * time.Second
	// reservationWaitShare is the fraction of the route's latency goal that a request may
	// wait for tokens that exist but are not available yet.
	reservationWaitShare = 0.4
)

// ErrStopped is the cause with which the front end cancels requests that a stop of the router cuts
// off.
var ErrStopped = errors.New("router stopped")

// Forwarder serves routed requests: it sends each to instances until one answers.
type Forwarder struct {
	// Plan returns the current routing plan, or nil before the first one was read.
	Plan func() *plan.Plan
	// PlanOutdated reports whether the current plan must not be used any longer.
	PlanOutdated func() bool
	// RegionOf returns the region of a failure domain, or "" if it is not known; nil if no route has homes.
	RegionOf func(domain string) string
	// Overloaded decides whether a new request is refused since the router is overloaded.
	Overloaded func() bool
	// Tokens reserves tokens of the workspaces' prepaid budgets and bills what was used.
	Tokens *prepaid.Manager
	// Placement chooses the instance for each attempt.
	Placement *placement.Placement
	// Quarantine keeps prompts that crash engines away from them.
	Quarantine *quarantine.Quarantine
	// Crashes is informed of attempts at engines whose connection broke.
	Crashes *crash.Detector
	// Accepts decides like drain.Admission whether a request is accepted by a router that may be
	// stopping. If nil, all requests are.
	Accepts func(now, deadline time.Time, expected time.Duration) bool
	// RetryBudget limits the attempts beyond the first of each request.
	RetryBudget *RetryBudget
	// Encode writes attempt a of request r to out in the targets' wire format.
	Encode func(out *fasthttp.Request, r *Request, a Attempt)
	// BodyMemory bounds the memory of answers that are buffered completely, since a faulty target may send without end.
	BodyMemory memory.Budget
	// FreeBodyMemory ends answers whose callers do not read them, and reports whether there are any; it must not block. It may
	// be nil.
	FreeBodyMemory func() bool
	// HasSignature reports whether an answer carries its target's signature.
	HasSignature func(h *fasthttp.ResponseHeader) bool
	// OnDecision is called with each decision about a request; it must not block. It may be
	// nil.
	OnDecision func(d Decision)

	durations drain.Durations // of the routes' requests that were answered completely
}

// Answer is a target's answer to a request. The receiver must close it.
type Answer struct {
	// Status and Header come from the first target whose answer is relayed, also if another
	// one completes the stream.
	Status int
	Header *fasthttp.ResponseHeader
	// Body is the complete body, unless Stream is set.
	Body []byte
	// Stream relays the events of a streamed answer; nil for others.
	Stream *Stream

	request *activeRequest
	memory  *memory.Reservation // for Body; nil for a stream
}

// Close ends the answer, settles the tokens it used and releases the memory of its body,
// which must not be used afterwards.
func (a *Answer) Close() {
	if a.Stream != nil {
		a.Stream.close()
	}
	if a.memory != nil {
		a.memory.Release()
	}
	a.request.finish(a)
}

// Serve sends the request to an instance and returns when its answer can be relayed.
// The caller cancels ctx when the client disconnects, and with the cause ErrStopped when the
// router stops before the answer is complete.
//
// The error is an *answer.Error. Its run state also covers what attempts that were given up
// may still do at their targets.
func (f *Forwarder) Serve(ctx context.Context, r *Request) (*Answer, error) {
	p := f.Plan()
	ar, refusal := f.admit(p, r)
	if refusal != nil {
		d := Decision{Kind: Refused, Request: r, Run: refusal.Run, Status: refusal.Status, Refusal: refusal}
		if p != nil {
			d.PlanVersion = p.Version()
		}
		f.report(d)
		return nil, refusal
	}
	ar.ctx, ar.cancel = context.WithDeadline(ctx, ar.deadline)
	a, refusal := ar.serve()
	if refusal != nil {
		ar.finishRefused(refusal)
		return nil, refusal
	}
	return a, nil
}

// admit resolves the route, workspace, service and deadline of a request by the plan, and
// refuses the request if one of them cannot be determined. The plan may be nil.
func (f *Forwarder) admit(p *plan.Plan, r *Request) (*activeRequest, *answer.Error) {
	if p == nil {
		return nil, answer.Retryable(fasthttp.StatusServiceUnavailable, "starting", startingRetryAfter, "router has not read its configuration yet")
	}
	if f.PlanOutdated() {
		return nil, answer.Retryable(fasthttp.StatusServiceUnavailable, "configuration_outdated", outdatedRetryAfter, "router has not read a newer configuration yet")
	}
	if f.Overloaded() {
		return nil, answer.Retryable(fasthttp.StatusServiceUnavailable, "router_overloaded", overloadedRetryAfter, "router has more requests than it can serve in time")
	}
	route, ok := p.Route(r.Host, r.Path())
	if !ok {
		return nil, answer.Refused(fasthttp.StatusNotFound, "no_route", "path", "no route leads from host %q and path %q", r.Host, r.Path())
	}
	ar := &activeRequest{f: f, r: r, plan: p, route: route, priority: route.Priority}
	if p.RequiresKey() && !route.Anonymous {
		workspace, ok := p.WorkspaceByKey(r.Key)
		if !ok {
			return nil, answer.Refused(fasthttp.StatusUnauthorized, "unknown_key", "key", "key belongs to no workspace")
		}
		ar.workspace = workspace
		if workspace.HasPriority {
			ar.priority = workspace.Priority
		}
	}
	ar.service, _ = p.Service(route.PickService(rand.Float64()))
	if ar.service == nil {
		return nil, answer.Retryable(fasthttp.StatusServiceUnavailable, "no_service", busyRetryAfter, "route %q leads to no service", route.Name)
	}
	ar.homes = plan.HomesOf(route, ar.workspace)
	timeout := route.Timeout
	if r.Timeout > 0 && (timeout == 0 || r.Timeout < timeout) {
		timeout = r.Timeout
	}
	ar.deadline = r.Arrived.Add(timeout)
	ar.findSharedParts()
	return ar, nil
}

// reservationRefusal returns the answer to a request for which reserving tokens failed.
func reservationRefusal(err error) *answer.Error {
	if errors.Is(err, prepaid.ErrExhausted) {
		return answer.Refused(fasthttp.StatusPaymentRequired, "budget_exhausted", "tokens", "the workspace's prepaid tokens do not cover the request at its largest")
	}
	retryAfter := maxTokensRetryAfter
	var shortage *prepaid.ShortageError
	if errors.As(err, &shortage) && shortage.RetryAfter > 0 {
		retryAfter = min(retryAfter, shortage.RetryAfter)
	}
	return answer.Retryable(fasthttp.StatusServiceUnavailable, "budget_unavailable", retryAfter, "tokens could not be reserved now")
}
