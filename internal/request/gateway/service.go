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
	"rosevalve/internal/request/queue"
	"rosevalve/internal/request/register"
	"rosevalve/internal/target/runner"
	"rosevalve/internal/workspace/catalogue"
)

const (
	// storeTimeout bounds the wait for an outcome to be stored before the caller is answered.
	storeTimeout   = 500 * time.Millisecond
	firstStoreWait = 100 * time.Millisecond
	maxStoreWait   = 5 * time.Second
)

// serviceRequest is one checked call of a plain service.
type serviceRequest struct {
	service catalogue.Service
	ticket  queue.Ticket
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
	req := newServiceRequest(ctx, workspace, service, "/"+path)
	in, fail := g.begin(ctx, workspace.Name, callHash(req.call))
	if fail != nil {
		g.fail(ctx, "", fail)
		return
	}
	if !service.Idempotent(req.call.Method, req.call.Path) && !g.Unclaimed {
		req.key = claim.Key(workspace.Name, name, in.run.Key().Request)
	}
	if in.first {
		g.start(in, func() { g.callService(in, req) })
	}
	if in.relayed {
		g.relayRaw(ctx, in)
		return
	}
	defer in.run.Log().Leave()
	g.relayResult(ctx, in.run)
}

func newServiceRequest(ctx *fasthttp.RequestCtx, workspace catalogue.Workspace, service catalogue.Service, path string) serviceRequest {
	return serviceRequest{
		service: service,
		ticket:  serviceTicket(workspace, service),
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
func (g *Gateway) callService(in *intake, req serviceRequest) {
	run := in.run
	defer run.Cancel()
	found := g.lookUp(in, "")
	reservation, fail := g.reserve(run, req.budget, req.service.TokensPerCall)
	if owner := <-found; owner != nil {
		if answered, _ := g.follow(in, owner); answered {
			if reservation != nil {
				reservation.Release()
			}
			return
		}
	}
	if fail != nil {
		g.refuse(in, fail)
		return
	}
	row := claim.Row{RunID: run.ID(), BodyHash: callHash(req.call), At: time.Now().UTC()}
	stored, fail := g.claim(run, req, row)
	if fail != nil {
		reservation.Release()
		g.refuse(in, fail)
		return
	}
	if stored != nil {
		reservation.Release()
		count(outcomeStored, answer.Ran)
		g.finishCall(in, *stored)
		g.Register.Retire(run)
		return
	}
	if g.runCall(in, req, row, reservation) == answer.NotRun {
		reservation.Release()
		return
	}
	g.bill(reservation, run, chat.Usage{CompletionTokens: req.service.TokensPerCall})
}

// runCall sends the claimed call and ends the run's log with what came of it.
func (g *Gateway) runCall(in *intake, req serviceRequest, row claim.Row, reservation *allotment.Reservation) answer.RunState {
	run := in.run
	announcer := g.announcer(run, reservation, allotment.Attempt{Prompt: req.service.TokensPerCall, Fixed: true})
	stop := context.AfterFunc(run.Context(), func() {
		// The caller is answered at its deadline; the outcome is stored when it comes.
		run.Log().Finish(nil, &answer.Error{
			Status:     fasthttp.StatusGatewayTimeout,
			Code:       "deadline_exceeded",
			Message:    "the call had no outcome at its deadline",
			Run:        answer.Unknown,
			RetryAfter: tableRetry,
		})
	})
	defer stop()
	result, err := g.Dispatcher.CallService(run.Context(), dispatch.ServiceCall{
		Ticket:     req.ticket,
		RunID:      run.ID(),
		Call:       req.call,
		Idempotent: req.key == "",
		Announce:   announcer.announce,
	})
	var failure *answer.Error
	if errors.As(err, &failure) {
		if failure.Run == answer.NotRun {
			g.release(run, req, row)
			failure = announcer.failure(failure)
		}
		g.refuse(in, failure)
		return failure.Run
	}
	outcome := claim.Outcome{Status: result.Status, ContentType: result.ContentType, Body: result.Body}
	stored := g.store(in, req, row, outcome)
	count(outcomeWhole, answer.Ran)
	g.finishCall(in, outcome)
	if stored {
		g.Register.Retire(run)
	}
	return answer.Ran
}

// claim makes the claim of a call that may run at most once.
func (g *Gateway) claim(run *register.Run, req serviceRequest, row claim.Row) (*claim.Outcome, *answer.Error) {
	if req.key == "" {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(run.Context(), g.reserveTimeout())
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

// release removes the claim of a call that did not run.
func (g *Gateway) release(run *register.Run, req serviceRequest, row claim.Row) {
	if req.key == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := g.Claims.Release(ctx, req.key, row); err != nil {
		g.Log.Warn("release claim", "request_id", run.ID(), "err", err)
	}
}

// store records the outcome of a claimed call and reports whether it is stored.
// If the table is slow, that goes on in the background, and this router remembers
// the outcome until then.
func (g *Gateway) store(in *intake, req serviceRequest, row claim.Row, outcome claim.Outcome) bool {
	if req.key == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	err := g.Claims.Store(ctx, req.key, row, outcome)
	if err == nil {
		return true
	}
	g.Log.Warn("store outcome", "request_id", row.RunID, "err", err)
	storesPending.Add(1)
	g.running.Add(1)
	go func() {
		defer g.running.Done()
		defer storesPending.Add(-1)
		g.keepStoring(in, req, row, outcome)
	}()
	return false
}

// keepStoring stores the outcome once the table is back.
func (g *Gateway) keepStoring(in *intake, req serviceRequest, row claim.Row, outcome claim.Outcome) {
	for wait := firstStoreWait; ; wait = min(2*wait, maxStoreWait) {
		time.Sleep(wait)
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		err := g.Claims.Store(ctx, req.key, row, outcome)
		cancel()
		if err == nil {
			g.Register.Retire(in.run)
			return
		}
		g.Log.Warn("store outcome", "request_id", row.RunID, "err", err)
	}
}

// finishCall ends the run's log with the outcome.
func (g *Gateway) finishCall(in *intake, outcome claim.Outcome) {
	run := in.run
	b, err := json.Marshal(outcome)
	if err != nil {
		run.Log().Finish(nil, &answer.Error{Status: fasthttp.StatusInternalServerError, Code: "internal", Message: "the outcome could not be encoded", Run: answer.Ran})
		return
	}
	run.Log().Append(b)
	if !run.Log().Finish(nil, nil) {
		// The deadline has ended the log; a repeated call reads the stored outcome.
		g.forget(in)
	}
}

// relayResult waits for the outcome of the call and sends it.
func (g *Gateway) relayResult(ctx *fasthttp.RequestCtx, run *register.Run) {
	r := reader{conn: ctx.Conn(), run: run}
	events, fail, err := r.all()
	if err != nil {
		return
	}
	if fail != nil {
		g.fail(ctx, run.ID(), fail)
		return
	}
	var outcome claim.Outcome
	if err := json.Unmarshal(events[0], &outcome); err != nil {
		g.fail(ctx, run.ID(), &answer.Error{Status: fasthttp.StatusInternalServerError, Code: "internal", Message: "the outcome could not be read", Run: answer.Ran})
		return
	}
	ctx.SetStatusCode(outcome.Status)
	ctx.SetContentType(outcome.ContentType)
	ctx.SetBody(outcome.Body)
}
