package gateway

import (
	"context"
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
	maxDeadline     = 24 * time.Hour
	overloadedRetry = time.Second
)

// intake is one caller's request with the run that answers it.
type intake struct {
	run     *register.Run
	first   bool // this request has created the run
	given   bool // the caller has sent the key
	relayed bool // another router asks on behalf of its caller
	request relayRequest
	counted bool // as one of the workspace's requests in flight
}

// begin registers the request's run, unless the router is draining.
func (g *Gateway) begin(ctx *fasthttp.RequestCtx, workspace string, bodyHash uint64) (*intake, *answer.Error) {
	key, given, fail := requestKey(ctx)
	if fail != nil {
		return nil, fail
	}
	timeout, fail := deadline(ctx)
	if fail != nil {
		return nil, fail
	}
	in := &intake{given: given, relayed: len(ctx.Request.Header.Peek(HeaderRelay)) > 0}
	id := register.Key{Workspace: workspace, Request: key}
	var known bool
	var err error
	in.run, known, err = g.Register.Find(id, bodyHash)
	switch {
	case err != nil:
	case in.relayed && (!known || in.run.Following()):
		// Two routers must not read the run from each other.
		if known {
			in.run.Log().Leave()
		}
		return nil, answer.Invalid(fasthttp.StatusNotFound, HeaderKey, "this router does not have the run")
	case known:
	case g.Draining():
		return nil, answer.Busy(fasthttp.StatusServiceUnavailable, "draining", time.Second, "this router is leaving; ask %s for another", pathEntries)
	default:
		in.run, in.first, err = g.Register.Begin(id, rand.Text(), bodyHash, timeout)
	}
	if err != nil {
		return nil, keyReused(err)
	}
	if in.first && given {
		in.request = newRelayRequest(ctx)
	}
	ctx.Response.Header.Set(HeaderRequestID, in.run.ID())
	if !in.first {
		ctx.Response.Header.Set(HeaderReplayed, "true")
	}
	return in, nil
}

// keyReused is the answer to a request whose key came with a different one before.
func keyReused(err error) *answer.Error {
	return answer.Invalid(fasthttp.StatusUnprocessableEntity, HeaderKey, "%v", err)
}

// start runs f on a worker, or refuses the run if there is none.
func (g *Gateway) start(in *intake, f func()) {
	g.init()
	g.running.Add(1)
	_, ok := g.workers.TrySubmit(func() {
		defer g.running.Done()
		defer g.uncount(in)
		defer g.endPanicked(in)
		f()
	})
	if !ok {
		g.running.Done()
		g.refuse(in, answer.Busy(fasthttp.StatusServiceUnavailable, "overloaded", overloadedRetry, "this router runs as many requests as it may"))
	}
}

// endPanicked answers the callers of a run whose worker panicked.
func (g *Gateway) endPanicked(in *intake) {
	p := recover()
	if p == nil {
		return
	}
	in.run.Cancel()
	g.Log.Error("request panicked", "request_id", in.run.ID(), "panic", fmt.Sprint(p))
	g.refuse(in, &answer.Error{Status: fasthttp.StatusInternalServerError, Code: "internal", Message: "the router failed", Run: answer.Unknown})
}

// Close waits until no run is going on and every outcome is stored, or until ctx ends.
func (g *Gateway) Close(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		g.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for runs: %w", ctx.Err())
	}
}

// leave ends one reader; a run that no one can read any more is cancelled.
func (g *Gateway) leave(in *intake) {
	run := in.run
	run.Log().Leave()
	run.Log().Compact(compact)
	if !run.Log().Abandoned() {
		return
	}
	if !in.given {
		run.Cancel()
		return
	}
	grace := g.AbandonGrace
	if grace == 0 {
		grace = defaultAbandonGrace
	}
	time.AfterFunc(grace, func() {
		if run.Log().Abandoned() {
			run.Cancel()
		}
	})
}

// requestKey returns the caller's idempotency key, or a new one.
func requestKey(ctx *fasthttp.RequestCtx) (key string, given bool, fail *answer.Error) {
	key = string(ctx.Request.Header.Peek(HeaderKey))
	if key == "" {
		return rand.Text(), false, nil
	}
	return key, true, admission.CheckKey(key)
}

// deadline returns the time that the caller gives the request, or 0.
func deadline(ctx *fasthttp.RequestCtx) (time.Duration, *answer.Error) {
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
