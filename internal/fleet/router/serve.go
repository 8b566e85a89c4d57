package router

import (
	"expvar"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"rosevalve/internal/budget/allotment"
	"rosevalve/internal/budget/witness"
	"rosevalve/internal/fleet/membership"
	"rosevalve/internal/protocol/callers"
	"rosevalve/internal/protocol/httpjson"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/queue"
	"rosevalve/internal/target/pool"
	"rosevalve/internal/workspace/catalogue"
)

const (
	// headerTimeout is how long the header of a request may take, and how long its body may pause. A caller that
	// sends slowly must not hold up a stop.
	headerTimeout     = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	startupRetryAfter = time.Second // Retry-After until the configuration has been read
	// writeBufferSize is the size in bytes of the write buffer that each open stream
	// keeps; it holds several events.
	writeBufferSize = 1024
)

// requestsServed counts requests of callers, including those refused before the
// configuration has been read.
var requestsServed = expvar.NewInt("requests")

// State is the state of the process that /debug/state returns.
type State struct {
	ID           string            `json:"id"`
	Version      uint64            `json:"config_version"`
	Ready        bool              `json:"ready"`
	Draining     bool              `json:"draining"`
	Config       catalogue.State   `json:"config"`
	Holdings     []allotment.State `json:"books"`   // this router's own holdings
	WitnessBooks []witness.State   `json:"witness"` // the books kept for other routers
	Targets      []pool.State      `json:"targets"`
	Queues       []queue.State     `json:"queues"`
	Members      []inner.Member    `json:"members"`
	// Membership counts suspicions, refuted suspicions, removals, and pauses of this process.
	Membership membership.Counts `json:"membership"`
	Runs       []RunState        `json:"runs"`
}

// RunState describes one run in State.
type RunState struct {
	ID        string    `json:"id"`
	Workspace string    `json:"workspace"`
	Began     time.Time `json:"began"`
	Events    int       `json:"events"`
}

// server returns the server for callers and operators.
func (r *Router) server() *callers.Server {
	return &callers.Server{
		HTTP: &fasthttp.Server{
			Handler:                      r.handle,
			ErrorHandler:                 r.handleReadError,
			MaxRequestBodySize:           int(r.Settings.Request.MaxBody),
			CloseOnShutdown:              true,
			NoDefaultServerHeader:        true,
			DisablePreParseMultipartForm: true,
			WriteBufferSize:              writeBufferSize,
			// Frees a connection's read buffer while its answer is streamed.
			ReduceMemoryUsage: true,
		},
		Timeouts: func() (header, idle time.Duration) { return headerTimeout, idleTimeout },
		OnDenied: func(err error) { r.Log.Info("socket option denied, the listener closes in another way", "err", err) },
		Log:      r.Log,
		// The gateway has ended the runs before; what is left are callers that do not read.
		CutOff: func() error { return nil },
	}
}

// handle routes a request by its path.
func (r *Router) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		r.serveReady(ctx)
	case "/debug/vars":
		expvarhandler.ExpvarHandler(ctx)
	case "/debug/state":
		httpjson.Write(ctx, fasthttp.StatusOK, r.state())
	case "/v1/operator":
		r.serveOperator(ctx)
	default:
		requestsServed.Add(1)
		if !r.catalogue.Ready() {
			// Before the configuration is read, every key and model would be refused as
			// unknown.
			answer.Retryable(fasthttp.StatusServiceUnavailable, "starting", startupRetryAfter, "router has not read its configuration yet").Send(ctx, "")
			return
		}
		r.gateway.Handle(ctx)
	}
}

// handleReadError answers a request that the HTTP library could not read. The connection
// lingers on close, so that a caller that is still sending receives the answer.
func (r *Router) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case callers.IsTimeout(err):
		status = fasthttp.StatusRequestTimeout
	}
	if c, ok := ctx.Conn().(*callers.Conn); ok {
		c.LingerOnClose()
	}
	answer.Invalid(status, "body", "request could not be read: %v", err).Send(ctx, "")
}

// serveReady answers 200 once the configuration has been read, and 503 before.
func (r *Router) serveReady(ctx *fasthttp.RequestCtx) {
	if !r.catalogue.Ready() {
		ctx.Error("configuration not read yet\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}

// state collects the state of the components.
func (r *Router) state() State {
	s := State{
		ID:           r.id,
		Version:      r.catalogue.Current().Version(),
		Ready:        r.catalogue.Ready(),
		Draining:     r.draining.Load(),
		Config:       r.catalogue.State(),
		Holdings:     r.allotments.State(),
		WitnessBooks: r.witness.State(),
		Targets:      r.targets.State(),
		Queues:       r.queues.State(),
		Members:      r.view.Members(),
		Membership:   r.view.Counts(),
	}
	for _, run := range r.registry.Runs() {
		s.Runs = append(s.Runs, RunState{
			ID:        run.ID(),
			Workspace: run.Key().Workspace,
			Began:     run.Began(),
			Events:    run.Log().Len(),
		})
	}
	return s
}
