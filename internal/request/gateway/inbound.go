package gateway

import (
	"crypto/rand"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/request/admission"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/register"
)

const (
	// maxDeadline is the largest value of HeaderDeadline.
	maxDeadline = 24 * time.Hour
	// overloadRetryAfter is the Retry-After of requests refused because all workers are busy.
	overloadRetryAfter = time.Second
)

// inboundRequest is one request together with the run that answers it.
type inboundRequest struct {
	run          *register.Run
	createdRun   bool // this request created the run, rather than found it
	hasClientKey bool // the caller sent an idempotency key
	fromRouter   bool // another router forwarded the request
	forward      forwardRequest
	quotaTaken   bool // counted in the workspace's concurrency quota
}

// findOrCreateRun returns the request with the run of its key. It creates the run if
// the key is unknown, unless the request is forwarded or the router is draining and may cut the run
// off, which is expected to last no longer than expected.
func (g *Gateway) findOrCreateRun(ctx *fasthttp.RequestCtx, workspace string, bodyHash uint64, expected time.Duration) (*inboundRequest, *answer.Error) {
	key, hasClientKey, apiErr := idempotencyKey(ctx)
	if apiErr != nil {
		return nil, apiErr
	}
	timeout, apiErr := requestTimeout(ctx)
	if apiErr != nil {
		return nil, apiErr
	}
	in := &inboundRequest{hasClientKey: hasClientKey, fromRouter: len(ctx.Request.Header.Peek(HeaderRelay)) > 0}
	runKey := register.Key{Workspace: workspace, IdempotencyKey: key}
	var known bool
	var err error
	in.run, known, err = g.Register.FindAndJoin(runKey, bodyHash)
	switch {
	case err != nil:
	case in.fromRouter && (!known || in.run.ReadFromPeer()):
		// A run that this router itself reads from another is not served to routers,
		// so that two routers never read it from each other.
		if known {
			in.run.Log().RemoveReader()
		}
		return nil, answer.Invalid(fasthttp.StatusNotFound, HeaderKey, "this router does not have the run")
	case known:
	case g.Draining() || !g.accepts(timeout, expected):
		return nil, answer.Retryable(fasthttp.StatusServiceUnavailable, "draining", time.Second, "this router is leaving; ask %s for another", pathEntries)
	default:
		in.run, in.createdRun, err = g.Register.FindOrCreate(runKey, rand.Text(), bodyHash, timeout)
	}
	if err != nil {
		return nil, keyReusedError(err)
	}
	if in.createdRun && hasClientKey {
		in.forward = newForwardRequest(ctx)
	}
	ctx.Response.Header.Set(HeaderRequestID, in.run.ID())
	if !in.createdRun {
		ctx.Response.Header.Set(HeaderReplayed, "true")
	}
	return in, nil
}

// accepts reports whether a run may begin that has the caller's timeout, or 0 for none, and is
// expected to last no longer than expected.
func (g *Gateway) accepts(timeout, expected time.Duration) bool {
	if g.Accepts == nil {
		return true
	}
	now := time.Now()
	var deadline time.Time
	if timeout > 0 {
		deadline = now.Add(timeout)
	}
	return g.Accepts(now, deadline, expected)
}

// keyReusedError returns the error for a request whose key belongs to a different
// request.
func keyReusedError(err error) *answer.Error {
	return answer.Invalid(fasthttp.StatusUnprocessableEntity, HeaderKey, "%v", err)
}

// runOnWorker runs f on a worker, or fails the run if all workers are busy.
func (g *Gateway) runOnWorker(in *inboundRequest, f func()) {
	g.initPools()
	g.unfinished.Add(1)
	g.running.Store(in.run, nil)
	_, ok := g.workers.TrySubmit(func() {
		defer g.unfinished.Done()
		defer g.running.Delete(in.run)
		defer g.releaseQuota(in)
		defer g.recoverRun(in)
		f()
	})
	if !ok {
		g.running.Delete(in.run)
		g.unfinished.Done()
		g.failRun(in, answer.Retryable(fasthttp.StatusServiceUnavailable, "overloaded", overloadRetryAfter, "this router runs as many requests as it may"))
	}
}

// recoverRun recovers from a panic of the run's worker and fails the run. It must be
// deferred itself, as recover requires.
func (g *Gateway) recoverRun(in *inboundRequest) {
	panicValue := recover()
	if panicValue == nil {
		return
	}
	in.run.Cancel()
	g.Log.Error("request panicked", "request_id", in.run.ID(), "panic", fmt.Sprint(panicValue))
	g.failRun(in, &answer.Error{Status: fasthttp.StatusInternalServerError, Code: "internal", Message: "the router failed", Run: answer.Unknown})
}

// detachReader removes a reader of the run. A run without readers is cancelled: at
// once if the caller sent no idempotency key, since nobody can request it again, and
// otherwise after AbandonGrace.
func (g *Gateway) detachReader(in *inboundRequest) {
	run := in.run
	run.Log().RemoveReader()
	run.Log().Compact(compactEvents)
	if !run.Log().HasNoReaders() {
		return
	}
	if !in.hasClientKey {
		run.Cancel()
		return
	}
	grace := g.AbandonGrace
	if grace == 0 {
		grace = defaultAbandonGrace
	}
	time.AfterFunc(grace, func() {
		if run.Log().HasNoReaders() {
			run.Cancel()
		}
	})
}

// idempotencyKey returns the caller's idempotency key, or a random one if the caller
// sent none.
func idempotencyKey(ctx *fasthttp.RequestCtx) (key string, hasClientKey bool, apiErr *answer.Error) {
	key = string(ctx.Request.Header.Peek(HeaderKey))
	if key == "" {
		return rand.Text(), false, nil
	}
	return key, true, admission.ValidateIdempotencyKey(key)
}

// requestTimeout returns the timeout from HeaderDeadline, or 0 if the header is absent.
func requestTimeout(ctx *fasthttp.RequestCtx) (time.Duration, *answer.Error) {
	text := string(ctx.Request.Header.Peek(HeaderDeadline))
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > maxDeadline.Milliseconds() {
		return 0, answer.Invalid(fasthttp.StatusBadRequest, HeaderDeadline, "header %s is %q; 1 to %d milliseconds are allowed", HeaderDeadline, text, maxDeadline.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}
