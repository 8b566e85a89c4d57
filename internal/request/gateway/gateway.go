package gateway

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/budget/allotment"
	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/fleet/drain"
	"rosevalve/internal/fleet/entry"
	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/protocol/httpjson"
	"rosevalve/internal/request/admission"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/claim"
	"rosevalve/internal/request/dispatch"
	"rosevalve/internal/request/register"
	"rosevalve/internal/target/runner"
	"rosevalve/internal/workspace/catalogue"
	"rosevalve/internal/workspace/quota"
)

// Headers of requests and answers between callers and routers.
const (
	// HeaderKey carries the caller's idempotency key; it is optional.
	HeaderKey = "Idempotency-Key"
	// HeaderBudget names the budget to draw from. Without it, every budget of the
	// workspace may be used.
	HeaderBudget = "X-Budget"
	// HeaderRequestID carries the run's id in the answer.
	HeaderRequestID = "X-Request-Id"
	// HeaderReplayed is "true" on the answer of a run that an earlier request with
	// the same key has created.
	HeaderReplayed = "X-Replayed"
	// HeaderDeadline is the caller's timeout for the request, in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderRelay marks a request that a router forwards to the router that owns the
	// run. Such a request never creates a run.
	HeaderRelay = "X-Relay"
)

const (
	pathServices = "/v1/services/"
	pathEntries  = "/v1/entries"

	defaultAbandonGrace   = 10 * time.Second
	defaultReserveTimeout = time.Second
	defaultMaxRuns        = 16384
	hintWorkers           = 16
	hintQueueSize         = 4096

	// budgetRetryAfter is the Retry-After of requests refused for lack of tokens.
	budgetRetryAfter = 30 * time.Second
	// tableRetryAfter is the Retry-After of requests that failed because the table was
	// unavailable or whose outcome is unknown.
	tableRetryAfter = 2 * time.Second
)

// Gateway serves the HTTP API of callers. Its exported fields are set before the first
// request.
type Gateway struct {
	// Snapshot returns the most recent configuration.
	Snapshot func() *catalogue.Snapshot
	// Register is the registry of this router's runs by workspace and idempotency key.
	Register *register.Registry
	// Tokens reserves and bills tokens.
	Tokens *allotment.Manager
	// Dispatcher sends requests to targets and retries them.
	Dispatcher *dispatch.Dispatcher
	// Claims stores the claims and outcomes of service calls that may run at most once.
	Claims *claim.Registry
	// Entries returns the router addresses that the caller may use.
	Entries func(r *fasthttp.RequestCtx) entry.Answer
	// Stopping reports whether this router is about to stop. Each answer then closes
	// its connection, so that the caller sends its next request on a new one.
	Stopping func() bool
	// Draining reports whether new requests are refused.
	Draining func() bool
	// Accepts decides like drain.Admission whether a request is accepted by a router that may be
	// stopping. If nil, all requests are.
	Accepts func(now, deadline time.Time, expected time.Duration) bool
	// Limits bounds the tokens that a completion request may use.
	Limits admission.Limits
	// AbandonGrace is how long a run with a caller's idempotency key continues
	// without a reader before it is cancelled; 0 means 10 s.
	AbandonGrace time.Duration
	// ReserveTimeout bounds each wait for a reservation, a claim or the
	// record of an attempt; 0 means 1 s.
	ReserveTimeout time.Duration
	// Incarnation is the id of this router's incarnation, which each bill carries.
	Incarnation string
	// Directory finds the runs of other routers by key. If nil, other routers are
	// not queried.
	Directory *register.Directory
	// StreamFrom reads the events of a run from the router at addr, which owns it.
	StreamFrom func(ctx context.Context, addr string, f runner.ForwardedRequest, sink func(runner.Event) error) error
	// MaxRuns is the largest number of concurrent runs; 0 means 16384.
	MaxRuns int
	// Quota enforces the limits of workspaces on rate and concurrency. If nil, there
	// are no such limits.
	Quota *quota.Limiter
	// DisableClaims makes service calls run without a claim; only tests set it.
	DisableClaims bool
	// Log receives a record of each error answer and of internal failures.
	Log *log.Logger

	initOnce    sync.Once
	workers     pond.Pool       // one worker for each run in progress
	hintSenders pond.Pool       // send best-effort messages to home routers
	running     sync.Map        // runs that a worker executes, by *register.Run
	unfinished  sync.WaitGroup  // runs in progress and outcomes being stored in the background
	durations   drain.Durations // of completions by model, and of service calls by service
}

// initPools creates the worker pools on the first call.
func (g *Gateway) initPools() {
	g.initOnce.Do(func() {
		n := g.MaxRuns
		if n == 0 {
			n = defaultMaxRuns
		}
		g.workers = pond.NewPool(n, pond.WithNonBlocking(true), pond.WithQueueSize(0))
		g.hintSenders = pond.NewPool(hintWorkers, pond.WithNonBlocking(true), pond.WithQueueSize(hintQueueSize))
	})
}

// Handle answers one request of a caller or of another router.
func (g *Gateway) Handle(ctx *fasthttp.RequestCtx) {
	if g.Stopping() {
		ctx.SetConnectionClose()
	}
	path := string(ctx.Path())
	switch {
	case path == chat.PathCompletions && ctx.IsPost():
		g.handleCompletion(ctx)
	case path == chat.PathModels && ctx.IsGet():
		g.handleModels(ctx)
	case path == pathEntries && ctx.IsGet():
		httpjson.Write(ctx, fasthttp.StatusOK, g.Entries(ctx))
	case strings.HasPrefix(path, pathServices):
		g.handleService(ctx, strings.TrimPrefix(path, pathServices))
	default:
		g.sendError(ctx, "", answer.Invalid(fasthttp.StatusNotFound, "path", "path %q with method %s does not exist", path, ctx.Method()))
	}
}

// handleModels lists the models of the configuration.
func (g *Gateway) handleModels(ctx *fasthttp.RequestCtx) {
	snapshot := g.Snapshot()
	if _, apiErr := admission.Authenticate(snapshot, ctx.Request.Header.Peek("Authorization")); apiErr != nil {
		g.sendError(ctx, "", apiErr)
		return
	}
	out := chat.ModelList{Object: "list", Data: []chat.Model{}}
	for _, m := range snapshot.ServedModels() {
		out.Data = append(out.Data, chat.Model{ID: m, Object: "model", OwnedBy: "rosevalve"})
	}
	httpjson.Write(ctx, fasthttp.StatusOK, out)
}

// admit counts the request against its workspace's quota and reserves its tokens.
func (g *Gateway) admit(in *inboundRequest, w catalogue.Workspace, budget string, expectedTokens, worstCaseTokens int64) (*allotment.Reservation, *answer.Error) {
	if g.Quota != nil {
		if apiErr := g.Quota.Admit(w, expectedTokens); apiErr != nil {
			return nil, apiErr
		}
		in.quotaTaken = true
	}
	return g.reserve(in.run, budget, worstCaseTokens)
}

// releaseQuota ends the request's use of the concurrency quota. It is called before the
// log ends, so that a caller that has its answer may send the next request at once. A
// request that is answered at its deadline counts until its run has stopped.
func (g *Gateway) releaseQuota(in *inboundRequest) {
	if !in.quotaTaken {
		return
	}
	in.quotaTaken = false
	g.Quota.Release(in.run.Key().Workspace)
}

// reserve reserves the tokens in the first eligible budget that has enough.
func (g *Gateway) reserve(run *register.Run, budget string, tokens int64) (*allotment.Reservation, *answer.Error) {
	ctx, cancel := context.WithTimeout(run.Context(), g.reserveTimeout())
	defer cancel()
	ids, err := g.eligibleBudgets(ctx, run.Key().Workspace, budget)
	if err != nil {
		return nil, reserveError(err)
	}
	lastErr := allotment.ErrInsufficient
	for _, id := range ids {
		r, err := g.Tokens.Reserve(ctx, id, tokens)
		if err == nil {
			return r, nil
		}
		lastErr = err
	}
	return nil, reserveError(lastErr)
}

// eligibleBudgets returns the budgets that the request may draw from: the named
// one, or all of the workspace if none is named.
func (g *Gateway) eligibleBudgets(ctx context.Context, workspace, budget string) ([]ledger.BudgetID, error) {
	if budget != "" {
		return []ledger.BudgetID{{Workspace: workspace, Name: budget}}, nil
	}
	return g.Tokens.ListBudgets(ctx, workspace)
}

func (g *Gateway) reserveTimeout() time.Duration {
	if g.ReserveTimeout == 0 {
		return defaultReserveTimeout
	}
	return g.ReserveTimeout
}

// reserveError returns the error for a request whose tokens could not be reserved
// or whose attempt could not be recorded.
func reserveError(err error) *answer.Error {
	switch {
	case errors.Is(err, allotment.ErrInsufficient):
		return answer.Retryable(fasthttp.StatusTooManyRequests, "budget_exhausted", budgetRetryAfter, "the workspace's budgets have too few tokens left for this request")
	case errors.Is(err, ledger.ErrNoBudget):
		return answer.Invalid(fasthttp.StatusNotFound, HeaderBudget, "budget does not exist in this workspace")
	default:
		return answer.Retryable(fasthttp.StatusServiceUnavailable, "budget_unavailable", tableRetryAfter, "tokens could not be drawn now")
	}
}

// sendError sends an error answer and logs it.
func (g *Gateway) sendError(ctx *fasthttp.RequestCtx, requestID string, apiErr *answer.Error) {
	apiErr.Send(ctx, requestID)
	g.Log.Info("request refused", "request_id", requestID, "status", apiErr.Status, "code", apiErr.Code, "run", apiErr.Run)
}
