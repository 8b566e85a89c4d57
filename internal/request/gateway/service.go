package gateway

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/budget/allotment"
	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/request/admission"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/claim"
	"rosevalve/internal/request/dispatch"
	"rosevalve/internal/request/register"
	"rosevalve/internal/target/runner"
	"rosevalve/internal/workspace/catalogue"
)

// storeTimeout bounds the wait for an outcome to be stored before the caller is answered.
const storeTimeout = 2 * time.Second

// serviceRequest is one checked call of a plain service.
type serviceRequest struct {
	service catalogue.Service
	call    runner.Call
	budget  string
	key     string // claim key, if the route is not idempotent
}

// service answers a call of a plain service; rest is the service's name and path.
func (g *Gateway) service(ctx *fasthttp.RequestCtx, rest string) {
	snapshot := g.Snapshot()
	workspace, fail := admission.Authenticate(snapshot, ctx.Request.Header.Peek("Authorization"))
	if fail != nil {
		g.fail(ctx, "", fail)
		return
	}
	name, path, _ := strings.Cut(rest, "/")
	service, ok := snapshot.Service(name)
	if !ok {
		g.fail(ctx, "", answer.Invalid(fasthttp.StatusNotFound, "service", "service %q does not exist", name))
		return
	}
	req := newServiceRequest(ctx, service, "/"+path)
	run, first, fail := g.begin(ctx, workspace.Name, callHash(req.call))
	if fail != nil {
		g.fail(ctx, "", fail)
		return
	}
	if !service.Idempotent(req.call.Method, req.call.Path) {
		req.key = claim.Key(workspace.Name, name, run.Key().Request)
	}
	ctx.Response.Header.Set(HeaderRequestID, run.ID())
	if first {
		g.callService(run, req)
	} else {
		ctx.Response.Header.Set(HeaderReplayed, "true")
	}
	g.relayResult(ctx, run)
}

func newServiceRequest(ctx *fasthttp.RequestCtx, service catalogue.Service, path string) serviceRequest {
	return serviceRequest{
		service: service,
		budget:  string(ctx.Request.Header.Peek(HeaderBudget)),
		call: runner.Call{
			Method:      string(ctx.Method()),
			Path:        path,
			Query:       string(ctx.QueryArgs().QueryString()),
			ContentType: string(ctx.Request.Header.ContentType()),
			Body:        append([]byte(nil), ctx.PostBody()...),
		},
	}
}

// callHash identifies a call by all that the service sees of it.
func callHash(c runner.Call) uint64 {
	head := c.Method + " " + c.Path + "?" + c.Query + "\n"
	return admission.Hash(append([]byte(head), c.Body...))
}

// callService reserves, claims, calls and bills, and ends the run's log with the outcome.
func (g *Gateway) callService(run *register.Run, req serviceRequest) {
	defer run.Cancel()
	reservation, fail := g.reserve(run, req.budget, req.service.TokensPerCall)
	if fail != nil {
		g.refuse(run, fail)
		return
	}
	row := claim.Row{RunID: run.ID(), BodyHash: callHash(req.call), At: time.Now().UTC()}
	stored, fail := g.claim(run, req, row)
	if fail != nil || stored != nil {
		reservation.Release()
		g.finishCall(run, stored, fail)
		return
	}
	result, err := g.Dispatcher.CallService(dispatch.ServiceCall{
		Service:    req.service.Name,
		RunID:      run.ID(),
		Call:       req.call,
		Idempotent: req.key == "",
		Announce:   g.announcer(run, reservation, allotment.Attempt{Prompt: req.service.TokensPerCall, Fixed: true}),
	})
	var failure *answer.Error
	if errors.As(err, &failure) {
		g.failCall(run, req, row, failure)
		if failure.Run == answer.NotRun {
			reservation.Release()
			return
		}
		g.bill(reservation, run, chat.Usage{CompletionTokens: req.service.TokensPerCall})
		return
	}
	outcome := claim.Outcome{Status: result.Status, ContentType: result.ContentType, Body: result.Body}
	g.store(req, row, outcome)
	g.bill(reservation, run, chat.Usage{CompletionTokens: req.service.TokensPerCall})
	g.finishCall(run, &outcome, nil)
}

// claim makes the claim of a call that may run at most once.
func (g *Gateway) claim(run *register.Run, req serviceRequest, row claim.Row) (*claim.Outcome, *answer.Error) {
	if req.key == "" {
		return nil, nil
	}
	ctx, cancel := contextWithTimeout(run, g.reserveTimeout())
	defer cancel()
	stored, err := g.Claims.Acquire(ctx, req.key, row)
	switch {
	case err == nil:
		return stored, nil
	case errors.Is(err, claim.ErrDifferentCall):
		return nil, answer.Invalid(fasthttp.StatusUnprocessableEntity, HeaderKey, "%v", err)
	case errors.Is(err, claim.ErrInDoubt):
		return nil, &answer.Error{
			Status:     fasthttp.StatusConflict,
			Code:       "outcome_unknown",
			Message:    "the call was sent before and its outcome is not known; it will not be sent again",
			Run:        answer.Unknown,
			RetryAfter: tableRetry,
		}
	default:
		return nil, answer.Busy(fasthttp.StatusServiceUnavailable, "claim_unavailable", tableRetry, "the call could not be claimed now and was not sent")
	}
}

// failCall ends a call that failed; its claim is released only if the call did not run.
func (g *Gateway) failCall(run *register.Run, req serviceRequest, row claim.Row, fail *answer.Error) {
	if fail.Run == answer.NotRun && req.key != "" {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		if err := g.Claims.Release(ctx, req.key, row); err != nil {
			g.Log.Warn("release claim", "request_id", run.ID(), "err", err)
		}
	}
	g.finishCall(run, nil, fail)
}

// store records the outcome of a claimed call.
func (g *Gateway) store(req serviceRequest, row claim.Row, outcome claim.Outcome) {
	if req.key == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := g.Claims.Store(ctx, req.key, row, outcome); err != nil {
		g.Log.Warn("store outcome", "request_id", row.RunID, "err", err)
	}
}

// finishCall ends the run's log with the outcome or the failure.
func (g *Gateway) finishCall(run *register.Run, outcome *claim.Outcome, fail *answer.Error) {
	if fail != nil {
		g.Register.Forget(run)
		run.Log().Finish(nil, fail)
		return
	}
	b, err := json.Marshal(outcome)
	if err != nil {
		run.Log().Finish(nil, &answer.Error{Status: fasthttp.StatusInternalServerError, Code: "internal", Message: "the outcome could not be encoded", Run: answer.Ran})
		return
	}
	run.Log().Append(b)
	run.Log().Finish(nil, nil)
	g.Register.Retire(run)
}

// relayResult waits for the outcome of the call and sends it.
func (g *Gateway) relayResult(ctx *fasthttp.RequestCtx, run *register.Run) {
	defer run.Log().Leave()
	for {
		events, done, fail, err := run.Log().Next(context.Background(), 0)
		if err != nil {
			return
		}
		if !done {
			time.Sleep(time.Millisecond)
			continue
		}
		if fail != nil {
			g.fail(ctx, run.ID(), fail)
			return
		}
		var outcome claim.Outcome
		if err := json.Unmarshal(events[0], &outcome); err != nil {
			g.Log.Error("decode outcome", "request_id", run.ID(), "err", err)
			return
		}
		ctx.SetStatusCode(outcome.Status)
		ctx.SetContentType(outcome.ContentType)
		ctx.SetBody(outcome.Body)
		return
	}
}
