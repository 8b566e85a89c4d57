package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/budget/prepaid"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/placement"
	"rosevalve/internal/workspace/plan"
)

const (
	// startingRetry is when to come back to a router that has no configuration yet.
	startingRetry = 300 * time.Millisecond
	// busyRetry is when to come back after a refusal by all instances.
	busyRetry = 150 * time.Millisecond
	// tokensRetry is when to come back when tokens could not be reserved, at the latest.
	tokensRetry = 2 * time.Second
	// tokensShare is the part of the goal that a request waits for tokens that are there.
	tokensShare = 0.4
)

// Forwarder serves routed requests.
type Forwarder struct {
	// Plan returns the newest routing plan, or nil if there is none.
	Plan func() *plan.Plan
	// Purse reserves and counts tokens.
	Purse *prepaid.Purse
	// Placement chooses instances.
	Placement *placement.Placement
	// Retries bounds the requests that are sent more than once.
	Retries *Retries
	// Encode writes a request for a target.
	Encode func(out *fasthttp.Request, r *Request, a Attempt)
	// Bodies bounds the memory of whole answers.
	Bodies Bodies
	// Genuine reports whether an answer bears its target's signature.
	Genuine func(h *fasthttp.ResponseHeader) bool
	// OnDecision is told of each decision about a request; it must not block.
	OnDecision func(d Decision)
}

// Answer is a target's answer to a request. It must be closed.
type Answer struct {
	// Status and Header are those of the first target that answered.
	Status int
	Header *fasthttp.ResponseHeader
	// Body is the whole body, unless Stream is set.
	Body []byte
	// Stream relays the events of a streamed answer.
	Stream *Stream

	work *work
	held held // the memory of Body
}

// Close ends the answer and settles what it has used. Its body must not be used any more.
func (a *Answer) Close() {
	if a.Stream != nil {
		a.Stream.close()
	}
	a.held.end()
	a.work.finish(a)
}

// Serve sends the request to an instance and returns when its answer can be relayed.
// The end of ctx means that the caller has gone.
//
// The error is an *answer.Error, whose run state is true for what may still come.
func (f *Forwarder) Serve(ctx context.Context, r *Request) (*Answer, error) {
	p := f.Plan()
	w, refusal := f.admit(p, r)
	if refusal != nil {
		d := Decision{Event: Refused, Request: r, Run: refusal.Run, Status: refusal.Status, Refusal: refusal}
		if p != nil {
			d.PlanVersion = p.Version()
		}
		f.decide(d)
		return nil, refusal
	}
	w.ctx, w.cancel = context.WithDeadline(ctx, w.deadline)
	a, refusal := w.serve()
	if refusal != nil {
		w.refused(refusal)
		return nil, refusal
	}
	return a, nil
}

// admit finds the route and the workspace of a request by the plan, which may be nil.
func (f *Forwarder) admit(p *plan.Plan, r *Request) (*work, *answer.Error) {
	if p == nil {
		return nil, answer.Busy(fasthttp.StatusServiceUnavailable, "starting", startingRetry, "router has not read its configuration yet")
	}
	route, ok := p.Route(r.Host, r.Path())
	if !ok {
		return nil, answer.Denied(fasthttp.StatusNotFound, "no_route", "path", "no route leads from host %q and path %q", r.Host, r.Path())
	}
	w := &work{f: f, r: r, plan: p, route: route, priority: route.Priority}
	if p.Keyed() && !route.Anonymous {
		workspace, ok := p.WorkspaceByKey(r.Key)
		if !ok {
			return nil, answer.Denied(fasthttp.StatusUnauthorized, "unknown_key", "key", "key belongs to no workspace")
		}
		w.workspace = workspace
		if workspace.Ranked {
			w.priority = workspace.Priority
		}
	}
	w.service, _ = p.Service(route.Pick(rand.Float64()))
	if w.service == nil {
		return nil, answer.Busy(fasthttp.StatusServiceUnavailable, "no_service", busyRetry, "route %q leads to no service", route.Name)
	}
	limit := route.Timeout
	if r.Patience > 0 && (limit == 0 || r.Patience < limit) {
		limit = r.Patience
	}
	w.deadline = r.Arrived.Add(limit)
	return w, nil
}

// tokensRefusal is the answer to a request that got no tokens.
func tokensRefusal(err error) *answer.Error {
	if errors.Is(err, prepaid.ErrExhausted) {
		return answer.Denied(fasthttp.StatusPaymentRequired, "budget_exhausted", "tokens", "the workspace's prepaid tokens do not cover the request at its largest")
	}
	after := tokensRetry
	var shortage *prepaid.ShortageError
	if errors.As(err, &shortage) && shortage.After > 0 {
		after = min(after, shortage.After)
	}
	return answer.Busy(fasthttp.StatusServiceUnavailable, "budget_unavailable", after, "tokens could not be reserved now")
}
