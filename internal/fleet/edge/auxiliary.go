package edge

import (
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"rosevalve/internal/budget/prepaid"
	"rosevalve/internal/fleet/evacuation"
	"rosevalve/internal/protocol/httpjson"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/target/placement"
	"rosevalve/platform"
)

const (
	auxIdleTimeout = 10 * time.Second
	// auxTimeout bounds the time in which a request to an auxiliary endpoint arrives, and that in which its answer is taken.
	auxTimeout = 10 * time.Second
)

// State is the state of the process as dumped by /debug/state.
type State struct {
	Incarnation string `json:"life"`
	PlanVersion uint64 `json:"plan_version"`
	Ready       bool   `json:"ready"`
	// Withdrawn reports whether the readiness check fails because of this router's load.
	Withdrawn bool            `json:"withdrawn"`
	Leaving   bool            `json:"leaving"`
	InFlight  int64           `json:"in_flight"`
	Tokens    []prepaid.State `json:"tokens"`
	// Era is the era of the store to which the tokens belong.
	Era prepaid.EraState `json:"era"`
	// EngineSpeeds are the measured speeds of the engines, by service.
	EngineSpeeds map[string]placement.EngineSpeed `json:"paces"`
	Members      []inner.Member                   `json:"members"`
	// Blocks are the prompts that are kept from the engines.
	Blocks []BlockState `json:"blocks,omitempty"`
	// Evacuations are the failure domains whose targets receive nothing.
	Evacuations []evacuation.Evacuation `json:"evacuations,omitempty"`
	// Tables are the copies of tables of the store.
	Tables []TableState `json:"tables"`
}

// BlockState describes prompts that are kept from the engines, and why.
type BlockState struct {
	Parts     string   `json:"parts"` // names of the parts that a prompt must hold, separated by spaces
	Service   string   `json:"service"`
	Crashes   int      `json:"crashes"`
	Addrs     []string `json:"addrs"` // of some engines that crashed
	DecidedBy string   `json:"decided_by"`
	SinceMS   int64    `json:"since_ms"` // Unix time
	Trials    int      `json:"trials"`
	Saved     bool     `json:"saved"` // the store holds the block
	// RetryAfterMS is the time until the block may end at the earliest.
	RetryAfterMS int64 `json:"retry_after_ms"`
}

// blockStates returns the blocks of the quarantine.
func (e *Edge) blockStates() []BlockState {
	var out []BlockState
	for _, b := range e.quarantine.Blocks() {
		r := b.Record()
		out = append(out, BlockState{
			Parts: b.PartNames(), Service: r.Service, Crashes: r.Crashes, Addrs: r.Addrs, DecidedBy: r.Router,
			SinceMS: r.Since.UnixMilli(), Trials: r.Trials, Saved: b.Saved(), RetryAfterMS: b.RetryAfter(time.Now()).Milliseconds(),
		})
	}
	return out
}

// handleAux serves the auxiliary endpoints.
func (e *Edge) handleAux(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch platform.EndpointOf(path) {
	case platform.EndpointReady:
		if !e.ready() {
			ctx.Error("not ready\n", fasthttp.StatusServiceUnavailable)
		}
		return
	case platform.EndpointDirectory:
		if err := platform.WriteDirectory(&ctx.Response, e.addresses(platform.CallerFailureDomain(ctx.QueryArgs()), platform.CallerRegion(ctx.QueryArgs())), e.settings().Edge.DirectoryMaxAge); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		}
		return
	}
	switch path {
	case "/metrics":
		ctx.SetContentType("text/plain; version=0.0.4")
		e.metrics.write(ctx)
	case "/debug/vars":
		expvarhandler.ExpvarHandler(ctx)
	case "/debug/state":
		httpjson.Write(ctx, fasthttp.StatusOK, e.state())
	default:
		ctx.Error("not found\n", fasthttp.StatusNotFound)
	}
}

// state returns the current state of the process.
func (e *Edge) state() State {
	s := State{
		Incarnation:  e.incarnation,
		Ready:        e.ready(),
		Withdrawn:    e.withdrawn.Load(),
		Leaving:      e.leaving(),
		InFlight:     e.ingress.InFlight(),
		Tokens:       e.tokens.State(),
		Era:          e.tokens.EraState(),
		EngineSpeeds: e.placement.EngineSpeeds(),
		Members:      e.view.Members(),
		Blocks:       e.blockStates(),
		Evacuations:  e.evacuations.List(),
		Tables:       e.tableStates(),
	}
	if p := e.plan.Load(); p != nil {
		s.PlanVersion = p.Version()
	}
	return s
}
