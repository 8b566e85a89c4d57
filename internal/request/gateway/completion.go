package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/budget/allotment"
	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/request/admission"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/dispatch"
	"rosevalve/internal/request/register"
	"rosevalve/internal/target/runner"
)

// handleCompletion answers a completion request. If the request's key is known, it
// sends the answer of the existing run.
func (g *Gateway) handleCompletion(ctx *fasthttp.RequestCtx) {
	snapshot := g.Snapshot()
	workspace, apiErr := admission.Authenticate(snapshot, ctx.Request.Header.Peek("Authorization"))
	if apiErr != nil {
		g.sendError(ctx, "", apiErr)
		return
	}
	req, apiErr := admission.ParseCompletion(snapshot, workspace, ctx.PostBody(), g.Limits)
	if apiErr != nil {
		g.sendError(ctx, "", apiErr)
		return
	}
	in, apiErr := g.findOrCreateRun(ctx, workspace.Name, req.BodyHash(), g.durations.Expect(time.Now(), req.Model(), req.MaxCompletionTokens()))
	if apiErr != nil {
		g.sendError(ctx, "", apiErr)
		return
	}
	if in.createdRun {
		budget := string(ctx.Request.Header.Peek(HeaderBudget))
		g.runOnWorker(in, func() { g.runCompletion(in, req, budget) })
	}
	switch {
	case in.fromRouter:
		g.streamToRouter(ctx, in)
	case req.Stream():
		g.streamToCaller(ctx, in, req.IncludeUsage())
	default:
		defer g.detachReader(in)
		g.writeCompletion(ctx, in.run)
	}
}

// runCompletion executes the request, or reads the answer from another router that
// already executes it, and ends the run's log.
func (g *Gateway) runCompletion(in *inboundRequest, req *admission.Request, budget string) {
	run := in.run
	defer run.Cancel()
	ownerCh := g.findOwner(in, "")
	reservation, apiErr := g.admit(in, req.Workspace(), budget, req.ExpectedTokens(), req.MaxTotalTokens())
	var lostRun *inner.Run
	if owner := <-ownerCh; owner != nil {
		if reservation != nil {
			reservation.Release()
		}
		var answered bool
		if answered, lostRun = g.readFromOwner(in, owner); answered {
			return
		}
		takenOverRuns.Add(1)
		reservation, apiErr = g.reserve(run, budget, req.MaxTotalTokens())
	}
	if apiErr != nil {
		g.failRun(in, apiErr)
		return
	}
	c := dispatch.Completion{
		Model:               req.Model(),
		Ticket:              completionQueueRequest(req),
		RunID:               run.ID(),
		Body:                req.Body(),
		SharedParts:         req.SharedParts(),
		MaxPromptTokens:     req.MaxPromptTokens(),
		MaxCompletionTokens: req.MaxCompletionTokens(),
		Delivered:           run.Log().Events(),
		OnAttempt:           func(loc dispatch.RunLocation) { g.publishLocation(in, loc) },
	}
	if lostRun != nil {
		c.TakenOver = dispatch.RunLocation{Target: lostRun.Target, RunID: lostRun.Attempt}
	}
	g.dispatchCompletion(in, c, reservation)
}

// dispatchCompletion runs the completion at a target, appends its events to the
// run's log and bills the tokens used.
func (g *Gateway) dispatchCompletion(in *inboundRequest, c dispatch.Completion, reservation *allotment.Reservation) {
	run := in.run
	var usage []byte
	timer := newTokenTimer(run.Began())
	c.Sink = func(ev runner.Event) error {
		switch {
		case ev.Usage != nil:
			usage = ev.Data
		case !ev.Done:
			timer.recordToken()
			run.Log().Append(ev.Data)
		}
		return nil
	}
	recorder := g.newAttemptRecorder(run, reservation, allotment.Attempt{FallbackTokens: c.MaxPromptTokens})
	c.BeforeAttempt = recorder.record
	outcome := g.Dispatcher.Complete(run.Context(), c)
	if !outcome.Settled() {
		// Settle waits until the target has stopped; answer the caller before that.
		run.Log().Finish(nil, outcome.Failure())
	}
	used, ran := outcome.Settle()
	if !ran {
		reservation.Release()
		g.failRun(in, recorder.notRunError(outcome.Failure()))
		return
	}
	g.bill(reservation, run, used)
	if apiErr := outcome.Failure(); apiErr != nil {
		// A retry with this key runs again. The table holds at most one
		// bill for a key, so it is not billed again.
		g.failRun(in, apiErr)
		return
	}
	if usage == nil {
		usage = usageEvent(run, c.Model, used)
	}
	countOutcome(outcomeCompleted, answer.Ran)
	g.durations.Observe(time.Now(), c.Model, c.MaxCompletionTokens, timer.first, time.Since(run.Began()))
	g.releaseQuota(in)
	run.Log().Finish(usage, nil)
	run.Log().Compact(compactEvents)
	g.Register.RemoveAfterRetention(run)
}

// failRun ends the run's log with the error and removes the run from the registry
// and from its home router, so that the caller can retry with the same key.
func (g *Gateway) failRun(in *inboundRequest, apiErr *answer.Error) {
	countOutcome(apiErr.Code, apiErr.Run)
	g.removeRun(in)
	g.releaseQuota(in)
	in.run.Log().Finish(nil, apiErr)
}

// bill charges the usage of the run to its reservation.
func (g *Gateway) bill(r *allotment.Reservation, run *register.Run, usage chat.Usage) {
	r.Bill(ledger.BillRow{
		RequestKey:       run.Key().IdempotencyKey,
		RequestID:        run.ID(),
		Holder:           g.Incarnation,
		PromptTokens:     usage.PromptTokens,
		CompletionTokens: usage.CompletionTokens,
		BilledAt:         time.Now().UTC(),
	})
}
