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

// completions answers a completion request, or reads along if its key is known.
func (g *Gateway) completions(ctx *fasthttp.RequestCtx) {
	snapshot := g.Snapshot()
	workspace, fail := admission.Authenticate(snapshot, ctx.Request.Header.Peek("Authorization"))
	if fail != nil {
		g.fail(ctx, "", fail)
		return
	}
	req, fail := admission.Parse(snapshot, workspace, ctx.PostBody(), g.Limits)
	if fail != nil {
		g.fail(ctx, "", fail)
		return
	}
	in, fail := g.begin(ctx, workspace.Name, req.BodyHash())
	if fail != nil {
		g.fail(ctx, "", fail)
		return
	}
	if in.first {
		budget := string(ctx.Request.Header.Peek(HeaderBudget))
		g.start(in, func() { g.complete(in, req, budget) })
	}
	switch {
	case in.relayed:
		g.relayRaw(ctx, in)
	case req.Stream():
		g.relay(ctx, in, req.IncludeUsage())
	default:
		defer g.leave(in)
		g.whole(ctx, in.run)
	}
}

// complete runs the request, bills it and ends its log.
func (g *Gateway) complete(in *intake, req *admission.Request, budget string) {
	run := in.run
	defer run.Cancel()
	found := g.lookUp(in, "")
	reservation, fail := g.reserve(run, budget, req.WorstCase())
	var lost *inner.Run
	if owner := <-found; owner != nil {
		if reservation != nil {
			reservation.Release()
		}
		var answered bool
		if answered, lost = g.follow(in, owner); answered {
			return
		}
		takenOver.Add(1)
		reservation, fail = g.reserve(run, budget, req.WorstCase())
	}
	if fail != nil {
		g.refuse(in, fail)
		return
	}
	c := dispatch.Completion{
		Model:       req.Model(),
		Ticket:      ticket(req),
		RunID:       run.ID(),
		Body:        req.Body(),
		WorstPrompt: req.WorstPrompt(),
		MaxTokens:   req.WorstCase() - req.WorstPrompt(),
		Delivered:   run.Log().Events(),
		Began:       func(at dispatch.Location) { g.announce(in, at) },
	}
	if lost != nil {
		c.Earlier = dispatch.Location{Target: lost.Target, RunID: lost.Attempt}
	}
	g.dispatch(in, c, reservation)
}

// dispatch runs the completion, answers its callers and bills it.
func (g *Gateway) dispatch(in *intake, c dispatch.Completion, reservation *allotment.Reservation) {
	run := in.run
	var usage []byte
	clock := newTokenClock(run.Began())
	c.Sink = func(ev runner.Event) error {
		switch {
		case ev.Usage != nil:
			usage = ev.Data
		case !ev.Done:
			clock.tick()
			run.Log().Append(ev.Data)
		}
		return nil
	}
	announcer := g.announcer(run, reservation, allotment.Attempt{Prompt: c.WorstPrompt})
	c.Announce = announcer.announce
	outcome := g.Dispatcher.Complete(run.Context(), c)
	if !outcome.Settled() {
		// The caller gets its final answer before the target has stopped.
		run.Log().Finish(nil, outcome.Failure())
	}
	used, ran := outcome.Settle()
	if !ran {
		reservation.Release()
		g.refuse(in, announcer.failure(outcome.Failure()))
		return
	}
	g.bill(reservation, run, used)
	if fail := outcome.Failure(); fail != nil {
		// A repeated request runs again; the table's bill keeps it from being billed again.
		g.refuse(in, fail)
		return
	}
	if usage == nil {
		usage = usageEvent(run, c.Model, used)
	}
	count(outcomeWhole, answer.Ran)
	run.Log().Finish(usage, nil)
	run.Log().Compact(compact)
	g.Register.Retire(run)
}

// refuse ends a run without an answer, so that its key may be tried again.
func (g *Gateway) refuse(in *intake, fail *answer.Error) {
	count(fail.Code, fail.Run)
	g.forget(in)
	in.run.Log().Finish(nil, fail)
}

func (g *Gateway) bill(r *allotment.Reservation, run *register.Run, usage chat.Usage) {
	r.Bill(ledger.BillRow{
		RequestKey:       run.Key().Request,
		RequestID:        run.ID(),
		Holder:           g.Holder,
		PromptTokens:     usage.PromptTokens,
		CompletionTokens: usage.CompletionTokens,
		At:               time.Now().UTC(),
	})
}
