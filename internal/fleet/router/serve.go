package router

import (
	"expvar"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"rosevalve/internal/budget/allotment"
	"rosevalve/internal/budget/witness"
	"rosevalve/internal/fleet/membership"
	"rosevalve/internal/protocol/httpjson"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/protocol/socket"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/queue"
	"rosevalve/internal/target/pool"
	"rosevalve/internal/workspace/catalogue"
)

const (
	idleTimeout   = 2 * time.Minute
	startingRetry = time.Second
	// writeBuffer is kept by each open stream, and holds several events.
	writeBuffer = 1024
)

var requestsServed = expvar.NewInt("requests")

// State is the dump of the process's state.
type State struct {
	ID       string            `json:"id"`
	Version  uint64            `json:"config_version"`
	Ready    bool              `json:"ready"`
	Draining bool              `json:"draining"`
	Config   catalogue.State   `json:"config"`
	Books    []allotment.State `json:"books"`
	Witness  []witness.State   `json:"witness"`
	Targets  []pool.State      `json:"targets"`
	Queues   []queue.State     `json:"queues"`
	Members  []inner.Member    `json:"members"`
	// Membership counts suspicions, their refutations, removals and pauses of this process.
	Membership membership.Counts `json:"membership"`
	Runs       []RunState        `json:"runs"`
}

// RunState describes one run for the dump.
type RunState struct {
	ID        string    `json:"id"`
	Workspace string    `json:"workspace"`
	Began     time.Time `json:"began"`
	Events    int       `json:"events"`
}

func (r *Router) server() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      r.handle,
		ErrorHandler:                 r.badRequest,
		MaxRequestBodySize:           int(r.Settings.Request.MaxBody),
		IdleTimeout:                  idleTimeout,
		CloseOnShutdown:              true,
		NoDefaultServerHeader:        true,
		DisablePreParseMultipartForm: true,
		WriteBufferSize:              writeBuffer,
		// A stream's connection keeps no read buffer while it is answered.
		ReduceMemoryUsage: true,
	}
}

// serveCallers accepts callers until the listener is closed.
func (r *Router) serveCallers(l net.Listener, server *fasthttp.Server) error {
	return server.Serve(socket.LingerListener{Listener: l})
}

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
			// Without a configuration every key and model would seem not to exist.
			answer.Busy(fasthttp.StatusServiceUnavailable, "starting", startingRetry, "router has not read its configuration yet").Send(ctx, "")
			return
		}
		r.gateway.Handle(ctx)
	}
}

// badRequest answers what the HTTP library could not read.
func (r *Router) badRequest(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		status = fasthttp.StatusRequestEntityTooLarge
	}
	if c, ok := ctx.Conn().(*socket.LingerConn); ok {
		c.LingerOnClose()
	}
	answer.Invalid(status, "body", "request could not be read: %v", err).Send(ctx, "")
}

func (r *Router) serveReady(ctx *fasthttp.RequestCtx) {
	if !r.catalogue.Ready() {
		ctx.Error("configuration not read yet\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}

func (r *Router) state() State {
	s := State{
		ID:         r.id,
		Version:    r.catalogue.Current().Version(),
		Ready:      r.catalogue.Ready(),
		Draining:   r.draining.Load(),
		Config:     r.catalogue.State(),
		Books:      r.purse.State(),
		Witness:    r.books.State(),
		Targets:    r.targets.State(),
		Queues:     r.queues.State(),
		Members:    r.view.Members(),
		Membership: r.view.Counts(),
	}
	for _, run := range r.register.Runs() {
		s.Runs = append(s.Runs, RunState{
			ID:        run.ID(),
			Workspace: run.Key().Workspace,
			Began:     run.Began(),
			Events:    run.Log().Len(),
		})
	}
	return s
}
