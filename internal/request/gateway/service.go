package gateway

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/budget/allotment"
	"rosevalve/internal/platform/table"
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
	// storeTimeout bounds each attempt to store an outcome or to release a claim. The
	// caller is answered after the first attempt at the latest.
	storeTimeout = 500 * time.Millisecond
	// initialStoreBackoff and maxStoreBackoff bound the wait between background attempts to
	// store an outcome or to release a claim.
	initialStoreBackoff = 100 * time.Millisecond
	maxStoreBackoff     = 5 * time.Second
	// claimReleaseTimeout bounds the time in which the release of a claim is tried again, and
	// maxPendingReleases the number of claims for which it is.
	claimReleaseTimeout = time.Minute
	maxPendingReleases  = 4096
)

// serviceRequest is one call of a plain service.
type serviceRequest struct {
	workspace    catalogue.Workspace
	service      catalogue.Service
	queueRequest queue.Request
	call         runner.ServiceRequest
	budget       string
	key          string // key of the claim; empty if the call needs none
}

// handleService answers a call of a plain service. nameAndPath is the part of the URL
// path after pathServices: the service's name, a slash and the path at the service.
func (g *Gateway) handleService(ctx *fasthttp.RequestCtx, nameAndPath string) {
	snapshot := g.Snapshot()
	workspace, apiErr := admission.Authenticate(snapshot, ctx.Request.Header.Peek("Authorization"))
	if apiErr != nil {
		g.sendError(ctx, "", apiErr)
		return
	}
	name, path, _ := strings.Cut(nameAndPath, "/")
	service, ok := snapshot.Service(name)
	if !ok {
		g.sendError(ctx, "", answer.Invalid(fasthttp.StatusNotFound, "service", "service %q does not exist", name))
		return
	}
	req := newServiceRequest(ctx, workspace, service, "/"+path)
	in, apiErr := g.findOrCreateRun(ctx, workspace.Name, serviceCallHash(req.call), g.durations.Expect(time.Now(), service.Name, 1))
	if apiErr != nil {
		g.sendError(ctx, "", apiErr)
		return
	}
	if !service.Idempotent(req.call.Method, req.call.Path) && !g.DisableClaims {
		req.key = claim.Key(workspace.Name, name, in.run.Key().IdempotencyKey)
	}
	if in.createdRun {
		g.runOnWorker(in, func() { g.executeServiceCall(in, req) })
	}
	if in.fromRouter {
		g.streamToRouter(ctx, in)
		return
	}
	defer in.run.Log().RemoveReader()
	g.writeServiceResult(ctx, in.run)
}

func newServiceRequest(ctx *fasthttp.RequestCtx, workspace catalogue.Workspace, service catalogue.Service, path string) serviceRequest {
	return serviceRequest{
		workspace:    workspace,
		service:      service,
		queueRequest: serviceQueueRequest(workspace, service),
		budget:       string(ctx.Request.Header.Peek(HeaderBudget)),
		call: runner.ServiceRequest{
			Method:      string(ctx.Method()),
			Path:        path,
			Query:       string(ctx.QueryArgs().QueryString()),
			ContentType: string(ctx.Request.Header.ContentType()),
			Body:        append([]byte(nil), ctx.PostBody()...),
		},
	}
}

// serviceCallHash returns a hash of the call's method, path, query and body.
func serviceCallHash(c runner.ServiceRequest) uint64 {
	head := c.Method + " " + c.Path + "?" + c.Query + "\n"
	return admission.HashBody(append([]byte(head), c.Body...))
}

// executeServiceCall reserves tokens, claims the call, sends it to the service and bills
// it. It ends the run's log with the outcome, which may also come from the claim or from
// another router.
func (g *Gateway) executeServiceCall(in *inboundRequest, req serviceRequest) {
	run := in.run
	defer run.Cancel()
	ownerCh := g.findOwner(in, "")
	tokens := req.service.TokensPerCall
	reservation, apiErr := g.admit(in, req.workspace, req.budget, tokens, tokens)
	if owner := <-ownerCh; owner != nil {
		if answered, _ := g.readFromOwner(in, owner); answered {
			if reservation != nil {
				reservation.Release()
			}
			return
		}
	}
	if apiErr != nil {
		g.failRun(in, apiErr)
		return
	}
	callClaim := claim.Claim{RunID: run.ID(), BodyHash: serviceCallHash(req.call), ClaimedAt: time.Now().UTC()}
	stored, apiErr := g.acquireClaim(run, req, callClaim)
	if apiErr != nil {
		reservation.Release()
		g.failRun(in, apiErr)
		return
	}
	if stored != nil {
		reservation.Release()
		countOutcome(outcomeStored, answer.Ran)
		g.finishServiceCall(in, *stored)
		g.Register.RemoveAfterRetention(run)
		return
	}
	if g.sendServiceCall(in, req, callClaim, reservation) == answer.NotRun {
		reservation.Release()
		return
	}
	g.bill(reservation, run, chat.Usage{CompletionTokens: req.service.TokensPerCall})
}

// sendServiceCall sends the claimed call and ends the run's log with its outcome or
// error. It returns the run state of the call.
func (g *Gateway) sendServiceCall(in *inboundRequest, req serviceRequest, callClaim claim.Claim, reservation *allotment.Reservation) answer.RunState {
	run := in.run
	recorder := g.newAttemptRecorder(run, reservation, allotment.Attempt{FallbackTokens: req.service.TokensPerCall, FixedPrice: true})
	stop := context.AfterFunc(run.Context(), func() {
		// The caller is answered at its deadline; the outcome is stored once it is known.
		run.Log().Finish(nil, givenUpError(run, "the call had no outcome at its deadline"))
	})
	defer stop()
	result, err := g.Dispatcher.CallService(run.Context(), dispatch.ServiceCall{
		Ticket:        req.queueRequest,
		RunID:         run.ID(),
		Call:          req.call,
		Idempotent:    req.key == "",
		BeforeAttempt: recorder.record,
	})
	var apiErr *answer.Error
	if errors.As(err, &apiErr) {
		if apiErr.Run == answer.NotRun {
			g.releaseClaim(run, req, callClaim)
			apiErr = recorder.notRunError(apiErr)
		}
		g.failRun(in, apiErr)
		return apiErr.Run
	}
	outcome := claim.Outcome{Status: result.Status, ContentType: result.ContentType, Body: result.Body}
	stored := g.storeOutcome(in, req, callClaim, outcome)
	countOutcome(outcomeCompleted, answer.Ran)
	duration := time.Since(run.Began())
	g.durations.Observe(time.Now(), req.service.Name, 1, duration, duration)
	g.finishServiceCall(in, outcome)
	if stored {
		g.Register.RemoveAfterRetention(run)
	}
	return answer.Ran
}

// acquireClaim claims a call that may run at most once. It returns the stored outcome if
// the call has run before, and nil if it may be sent now.
func (g *Gateway) acquireClaim(run *register.Run, req serviceRequest, callClaim claim.Claim) (*claim.Outcome, *answer.Error) {
	if req.key == "" {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(run.Context(), g.reserveTimeout())
	defer cancel()
	stored, err := g.Claims.Acquire(ctx, req.key, callClaim)
	switch {
	case err == nil:
		return stored, nil
	case errors.Is(err, claim.ErrDifferentCall):
		return nil, answer.Invalid(fasthttp.StatusUnprocessableEntity, HeaderKey, "%v", err)
	case errors.Is(err, claim.ErrOutcomeUnknown):
		return nil, &answer.Error{
			Status:     fasthttp.StatusConflict,
			Code:       "outcome_unknown",
			Message:    "the call was sent before and its outcome is not known; it will not be sent again",
			Run:        answer.Unknown,
			RetryAfter: tableRetryAfter,
		}
	default:
		if errors.Is(err, table.ErrUnknownOutcome) {
			g.releaseClaimLater(run, req, callClaim)
		}
		return nil, answer.Retryable(fasthttp.StatusServiceUnavailable, "claim_unavailable", tableRetryAfter, "the call could not be claimed now and was not sent")
	}
}

// releaseClaim removes the claim of a call that did not run, so that it can be retried. If that fails,
// it is tried again in the background.
func (g *Gateway) releaseClaim(run *register.Run, req serviceRequest, callClaim claim.Claim) {
	if req.key == "" || g.tryReleaseClaim(run, req, callClaim) {
		return
	}
	g.releaseClaimLater(run, req, callClaim)
}

// tryReleaseClaim tries once to remove the claim of a call and reports whether that succeeded.
func (g *Gateway) tryReleaseClaim(run *register.Run, req serviceRequest, callClaim claim.Claim) bool {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	err := g.Claims.Release(ctx, req.key, callClaim)
	if err != nil {
		g.Log.Warn("failed to release claim", "request_id", run.ID(), "err", err)
	}
	return err == nil
}

// releaseClaimLater removes the claim of a call in the background, with exponential backoff until it
// succeeds or claimReleaseTimeout has passed. A claim that is left keeps the call from running.
func (g *Gateway) releaseClaimLater(run *register.Run, req serviceRequest, callClaim claim.Claim) {
	if pendingReleases.Value() >= maxPendingReleases {
		g.Log.Warn("claim left behind, too many wait for their release", "request_id", run.ID())
		return
	}
	pendingReleases.Add(1)
	g.unfinished.Add(1)
	go func() {
		defer g.unfinished.Done()
		defer pendingReleases.Add(-1)
		end := time.Now().Add(claimReleaseTimeout)
		for backoff := initialStoreBackoff; !g.tryReleaseClaim(run, req, callClaim); backoff = min(2*backoff, maxStoreBackoff) {
			if time.Now().After(end) {
				g.Log.Warn("claim left behind", "request_id", run.ID())
				return
			}
			time.Sleep(backoff)
		}
	}()
}

// storeOutcome stores the outcome of a claimed call in the table and reports whether that
// succeeded. If not, it retries in the background; until then the run stays in this router's
// registry, unless its deadline has passed.
func (g *Gateway) storeOutcome(in *inboundRequest, req serviceRequest, callClaim claim.Claim, outcome claim.Outcome) bool {
	if req.key == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	err := g.Claims.Store(ctx, req.key, callClaim, outcome)
	if err == nil {
		return true
	}
	g.Log.Warn("failed to store outcome", "request_id", callClaim.RunID, "err", err)
	pendingStores.Add(1)
	g.unfinished.Add(1)
	go func() {
		defer g.unfinished.Done()
		defer pendingStores.Add(-1)
		g.retryStoreOutcome(in, req, callClaim, outcome)
	}()
	return false
}

// retryStoreOutcome retries with exponential backoff until the outcome is stored.
func (g *Gateway) retryStoreOutcome(in *inboundRequest, req serviceRequest, callClaim claim.Claim, outcome claim.Outcome) {
	for backoff := initialStoreBackoff; ; backoff = min(2*backoff, maxStoreBackoff) {
		time.Sleep(backoff)
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		err := g.Claims.Store(ctx, req.key, callClaim, outcome)
		cancel()
		if err == nil {
			g.Register.RemoveAfterRetention(in.run)
			return
		}
		g.Log.Warn("failed to store outcome", "request_id", callClaim.RunID, "err", err)
	}
}

// finishServiceCall ends the run's log with the outcome as its only event.
func (g *Gateway) finishServiceCall(in *inboundRequest, outcome claim.Outcome) {
	run := in.run
	b, err := json.Marshal(outcome)
	if err != nil {
		run.Log().Finish(nil, &answer.Error{Status: fasthttp.StatusInternalServerError, Code: "internal", Message: "the outcome could not be encoded", Run: answer.Ran})
		return
	}
	g.releaseQuota(in)
	run.Log().Append(b)
	if !run.Log().Finish(nil, nil) {
		// The deadline has already ended the log. Remove the run, so that a retry of the call
		// reads the stored outcome.
		g.removeRun(in)
	}
}

// writeServiceResult waits for the outcome of the call and sends it to the caller.
func (g *Gateway) writeServiceResult(ctx *fasthttp.RequestCtx, run *register.Run) {
	r := eventReader{conn: ctx.Conn(), run: run}
	events, apiErr, err := r.readAll()
	if err != nil {
		apiErr = callerGoneError()
	}
	if apiErr != nil {
		g.sendError(ctx, run.ID(), apiErr)
		return
	}
	var outcome claim.Outcome
	if err := json.Unmarshal(events[0], &outcome); err != nil {
		g.sendError(ctx, run.ID(), &answer.Error{Status: fasthttp.StatusInternalServerError, Code: "internal", Message: "the outcome could not be read", Run: answer.Ran})
		return
	}
	ctx.SetStatusCode(outcome.Status)
	ctx.SetContentType(outcome.ContentType)
	ctx.SetBody(outcome.Body)
}
