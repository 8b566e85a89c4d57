package gateway

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/budget/allotment"
	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/request/admission"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/dispatch"
	"rosevalve/internal/request/register"
	"rosevalve/internal/request/stream"
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
	run, first, fail := g.begin(ctx, workspace.Name, req.BodyHash())
	if fail != nil {
		g.fail(ctx, "", fail)
		return
	}
	ctx.Response.Header.Set(HeaderRequestID, run.ID())
	if first {
		budget := string(ctx.Request.Header.Peek(HeaderBudget))
		go g.complete(run, req, budget)
	} else {
		ctx.Response.Header.Set(HeaderReplayed, "true")
	}
	given := len(ctx.Request.Header.Peek(HeaderKey)) > 0
	if req.Stream() {
		g.relay(ctx, run, req, given)
		return
	}
	defer g.leave(run, given)
	g.whole(ctx, run)
}

// begin registers the request's run, unless the router is draining.
func (g *Gateway) begin(ctx *fasthttp.RequestCtx, workspace string, bodyHash uint64) (*register.Run, bool, *answer.Error) {
	key, _, fail := requestKey(ctx)
	if fail != nil {
		return nil, false, fail
	}
	if g.Draining() {
		return nil, false, answer.Busy(fasthttp.StatusServiceUnavailable, "draining", time.Second, "this router is leaving; ask %s for another", pathEntries)
	}
	run, first, err := g.Register.Begin(register.Key{Workspace: workspace, Request: key}, rand.Text(), bodyHash)
	if err != nil {
		return nil, false, answer.Invalid(fasthttp.StatusUnprocessableEntity, HeaderKey, "%v", err)
	}
	return run, first, nil
}

// complete runs the request, bills it and ends its log.
func (g *Gateway) complete(run *register.Run, req *admission.Request, budget string) {
	defer run.Cancel()
	reservation, fail := g.reserve(run, budget, req.WorstCase())
	if fail != nil {
		g.refuse(run, fail)
		return
	}
	var usage []byte
	announce := g.announcer(run, reservation, allotment.Attempt{Prompt: req.WorstPrompt()})
	outcome := g.Dispatcher.Complete(run.Context(), dispatch.Completion{
		Model:       req.Model(),
		RunID:       run.ID(),
		Body:        req.Body(),
		WorstPrompt: req.WorstPrompt(),
		Announce:    announce,
		Sink: func(ev runner.Event) error {
			switch {
			case ev.Usage != nil:
				usage = ev.Data
			case !ev.Done:
				run.Log().Append(ev.Data)
			}
			return nil
		},
	})
	if outcome.Usage() == (chat.Usage{}) {
		reservation.Release()
		g.refuse(run, outcome.Failure())
		return
	}
	g.bill(reservation, run, outcome.Usage())
	run.Log().Finish(usage, outcome.Failure())
	g.Register.Retire(run)
}

// announcer returns a function that makes each attempt of the run known to the budget's witness.
func (g *Gateway) announcer(run *register.Run, r *allotment.Reservation, a allotment.Attempt) func(target, attempt string) error {
	return func(target, attempt string) error {
		ctx, cancel := contextWithTimeout(run, g.reserveTimeout())
		defer cancel()
		a.RunID, a.RequestKey = run.ID(), run.Key().Request
		a.Target, a.ID = target, attempt
		return r.Announce(ctx, a)
	}
}

// refuse ends a run that did not run, so that its key may be tried again.
func (g *Gateway) refuse(run *register.Run, fail *answer.Error) {
	g.Register.Forget(run)
	run.Log().Finish(nil, fail)
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

// budgets returns the budgets that a request may draw from.
func (g *Gateway) budgets(ctx context.Context, workspace, budget string) ([]ledger.BudgetID, error) {
	if budget != "" {
		return []ledger.BudgetID{{Workspace: workspace, Name: budget}}, nil
	}
	return g.Purse.Budgets(ctx, workspace)
}

// relay streams the run's events to the caller.
func (g *Gateway) relay(ctx *fasthttp.RequestCtx, run *register.Run, req *admission.Request, given bool) {
	events, done, fail, err := run.Log().Next(run.Context(), 0)
	if err != nil {
		events, done, fail, _ = run.Log().Next(context.Background(), 0)
	}
	if done && fail != nil && len(events) == 0 {
		g.leave(run, given)
		g.fail(ctx, run.ID(), fail)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer g.leave(run, given)
		if err := writeLog(w, run, req.IncludeUsage()); err != nil {
			g.Log.Debug("caller left", "request_id", run.ID(), "err", err)
		}
	})
}

// writeLog sends the log from its beginning to its end.
func writeLog(w *bufio.Writer, run *register.Run, includeUsage bool) error {
	offset := 0
	for {
		events, done, fail, err := run.Log().Next(context.Background(), offset)
		if err != nil {
			return fmt.Errorf("read log: %w", err)
		}
		offset += len(events)
		for _, ev := range events {
			writeEvent(w, ev)
		}
		if done {
			writeEnd(w, run, includeUsage, fail)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("send events: %w", err)
		}
		if done {
			return nil
		}
	}
}

// writeEnd closes a stream; one that failed gets the error in place of the last event.
func writeEnd(w *bufio.Writer, run *register.Run, includeUsage bool, fail *answer.Error) {
	if fail != nil {
		writeEvent(w, fail.JSON(run.ID()))
		return
	}
	if includeUsage {
		writeEvent(w, run.Log().Usage())
	}
	writeEvent(w, []byte(chat.DoneEvent))
}

// writeEvent frames one event; a failed write is reported by the next flush.
func writeEvent(w *bufio.Writer, data []byte) {
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
}

// whole waits for the end of the run and sends one answer.
func (g *Gateway) whole(ctx *fasthttp.RequestCtx, run *register.Run) {
	offset := 0
	var events [][]byte
	for {
		more, done, fail, err := run.Log().Next(context.Background(), offset)
		if err != nil {
			return
		}
		offset += len(more)
		events = append(events, more...)
		if !done {
			continue
		}
		if fail != nil {
			g.fail(ctx, run.ID(), fail)
			return
		}
		break
	}
	completion, err := assemble(run.Log(), events)
	if err != nil {
		g.fail(ctx, run.ID(), &answer.Error{Status: fasthttp.StatusBadGateway, Code: "bad_answer", Message: "the target's answer could not be read", Run: answer.Ran})
		g.Log.Error("assemble answer", "request_id", run.ID(), "err", err)
		return
	}
	writeJSON(ctx, completion)
}

// assemble joins the events of a stream to one answer.
func assemble(l *stream.Log, events [][]byte) (chat.Completion, error) {
	var out chat.Completion
	var text strings.Builder
	choice := chat.Choice{Message: chat.TextMessage{Role: "assistant"}}
	for _, ev := range append(events, l.Usage()) {
		var c chat.Chunk
		if err := json.Unmarshal(ev, &c); err != nil {
			return out, fmt.Errorf("decode event: %w", err)
		}
		out.ID, out.Created, out.Model = c.ID, c.Created, c.Model
		if c.Usage != nil {
			out.Usage = *c.Usage
		}
		for _, part := range c.Choices {
			text.WriteString(part.Delta.Content)
			if part.FinishReason != nil {
				choice.FinishReason = *part.FinishReason
			}
		}
	}
	if choice.FinishReason == "" {
		return out, errors.New("no finish reason")
	}
	out.Object = "chat.completion"
	choice.Message.Content = text.String()
	out.Choices = []chat.Choice{choice}
	return out, nil
}

// leave ends one reader; a run that no one can read any more is cancelled.
func (g *Gateway) leave(run *register.Run, given bool) {
	run.Log().Leave()
	if !run.Log().Abandoned() {
		return
	}
	if !given {
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

func contextWithTimeout(run *register.Run, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(run.Context(), d)
}
