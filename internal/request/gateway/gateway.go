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

// Header names between caller and router.
const (
	HeaderKey       = "Idempotency-Key"
	HeaderBudget    = "X-Budget"
	HeaderRequestID = "X-Request-Id"
	// HeaderReplayed is set on answers that an earlier request of the same key produced.
	HeaderReplayed = "X-Replayed"
	// HeaderDeadline is the time in milliseconds that the caller gives the request.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderRelay marks a request that a router sends on; it never begins a run.
	HeaderRelay = "X-Relay"
)

const (
	pathServices = "/v1/services/"
	pathEntries  = "/v1/entries"

	defaultAbandonGrace   = 10 * time.Second
	defaultReserveTimeout = time.Second
	defaultMaxRuns        = 16384
	hintWorkers           = 16
	hintQueue             = 4096
	exhaustedRetry        = 30 * time.Second
	tableRetry            = 2 * time.Second
)

// Gateway serves callers.
type Gateway struct {
	// Snapshot returns the configuration in force.
	Snapshot func() *catalogue.Snapshot
	// Register knows the runs.
	Register *register.Register
	// Purse reserves and bills tokens.
	Purse *allotment.Purse
	// Dispatcher runs requests at targets.
	Dispatcher *dispatch.Dispatcher
	// Claims guards calls that may run at most once.
	Claims *claim.Registry
	// Entries lists the addresses that callers may use.
	Entries func(r *fasthttp.RequestCtx) entry.Answer
	// Leaving reports whether callers shall open no further requests on their connections.
	Leaving func() bool
	// Draining reports whether new requests are refused.
	Draining func() bool
	// Limits bound what a request may ask for.
	Limits admission.Limits
	// AbandonGrace is how long a run with a caller's key goes on without a reader.
	AbandonGrace time.Duration
	// ReserveTimeout bounds the wait for tokens.
	ReserveTimeout time.Duration
	// Holder is the router incarnation that signs bills.
	Holder string
	// Homes finds the runs that other routers have; nil stands for none.
	Homes *register.Homes
	// Attach reads a run from the router that has it.
	Attach func(ctx context.Context, addr string, f runner.Forward, sink func(runner.Event) error) error
	// MaxRuns bounds the requests that run at the same time.
	MaxRuns int
	// Quota enforces the workspaces' limits; nil stands for none.
	Quota *quota.Quota
	// Unclaimed lets calls run without a claim; only tests set it.
	Unclaimed bool
	// Log receives one record for each request.
	Log *log.Logger

	once    sync.Once
	workers pond.Pool // one worker for each run
	hints   pond.Pool // sends hints to other routers
	running sync.WaitGroup
}

func (g *Gateway) init() {
	g.once.Do(func() {
		n := g.MaxRuns
		if n == 0 {
			n = defaultMaxRuns
		}
		g.workers = pond.NewPool(n, pond.WithNonBlocking(true), pond.WithQueueSize(0))
		g.hints = pond.NewPool(hintWorkers, pond.WithNonBlocking(true), pond.WithQueueSize(hintQueue))
	})
}

// Handle answers one request of a caller.
func (g *Gateway) Handle(ctx *fasthttp.RequestCtx) {
	if g.Leaving() {
		ctx.SetConnectionClose()
	}
	path := string(ctx.Path())
	switch {
	case path == chat.PathCompletions && ctx.IsPost():
		g.completions(ctx)
	case path == chat.PathModels && ctx.IsGet():
		g.models(ctx)
	case path == pathEntries && ctx.IsGet():
		httpjson.Write(ctx, fasthttp.StatusOK, g.Entries(ctx))
	case strings.HasPrefix(path, pathServices):
		g.service(ctx, strings.TrimPrefix(path, pathServices))
	default:
		g.fail(ctx, "", answer.Invalid(fasthttp.StatusNotFound, "path", "path %q with method %s does not exist", path, ctx.Method()))
	}
}

// models lists what the caller's workspace may use.
func (g *Gateway) models(ctx *fasthttp.RequestCtx) {
	snapshot := g.Snapshot()
	if _, fail := admission.Authenticate(snapshot, ctx.Request.Header.Peek("Authorization")); fail != nil {
		g.fail(ctx, "", fail)
		return
	}
	out := chat.ModelList{Object: "list", Data: []chat.Model{}}
	for _, m := range snapshot.Models() {
		out.Data = append(out.Data, chat.Model{ID: m, Object: "model", OwnedBy: "rosevalve"})
	}
	httpjson.Write(ctx, fasthttp.StatusOK, out)
}

// admit counts the request against its workspace's limits and reserves its tokens.
func (g *Gateway) admit(in *intake, w catalogue.Workspace, budget string, asked, worstCase int64) (*allotment.Reservation, *answer.Error) {
	if g.Quota != nil {
		if fail := g.Quota.Take(w, asked); fail != nil {
			return nil, fail
		}
		in.counted = true
	}
	return g.reserve(in.run, budget, worstCase)
}

// uncount ends what admit has counted, before the caller can know that the request has ended.
func (g *Gateway) uncount(in *intake) {
	if !in.counted {
		return
	}
	in.counted = false
	g.Quota.Done(in.run.Key().Workspace)
}

// reserve takes the tokens from the first of the workspace's budgets that has them.
func (g *Gateway) reserve(run *register.Run, budget string, tokens int64) (*allotment.Reservation, *answer.Error) {
	ctx, cancel := context.WithTimeout(run.Context(), g.reserveTimeout())
	defer cancel()
	ids, err := g.budgets(ctx, run.Key().Workspace, budget)
	if err != nil {
		return nil, reserveFailure(err)
	}
	last := allotment.ErrInsufficient
	for _, id := range ids {
		r, err := g.Purse.Reserve(ctx, id, tokens)
		if err == nil {
			return r, nil
		}
		last = err
	}
	return nil, reserveFailure(last)
}

// budgets returns the budgets that a request may draw from.
func (g *Gateway) budgets(ctx context.Context, workspace, budget string) ([]ledger.BudgetID, error) {
	if budget != "" {
		return []ledger.BudgetID{{Workspace: workspace, Name: budget}}, nil
	}
	return g.Purse.Budgets(ctx, workspace)
}

func (g *Gateway) reserveTimeout() time.Duration {
	if g.ReserveTimeout == 0 {
		return defaultReserveTimeout
	}
	return g.ReserveTimeout
}

// reserveFailure is the answer to a request that got no tokens.
func reserveFailure(err error) *answer.Error {
	switch {
	case errors.Is(err, allotment.ErrInsufficient):
		return answer.Busy(fasthttp.StatusTooManyRequests, "budget_exhausted", exhaustedRetry, "the workspace's budgets have too few tokens left for this request")
	case errors.Is(err, ledger.ErrNoBudget):
		return answer.Invalid(fasthttp.StatusNotFound, HeaderBudget, "budget does not exist in this workspace")
	default:
		return answer.Busy(fasthttp.StatusServiceUnavailable, "budget_unavailable", tableRetry, "tokens could not be drawn now")
	}
}

// fail sends the final answer to a request that failed.
func (g *Gateway) fail(ctx *fasthttp.RequestCtx, requestID string, fail *answer.Error) {
	fail.Send(ctx, requestID)
	g.Log.Info("request refused", "request_id", requestID, "status", fail.Status, "code", fail.Code, "run", fail.Run)
}
