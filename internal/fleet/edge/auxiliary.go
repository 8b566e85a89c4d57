package edge

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"rosevalve/internal/budget/prepaid"
	"rosevalve/internal/protocol/httpjson"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/target/placement"
	"rosevalve/platform"
)

const (
	auxIdleTimeout = 10 * time.Second
	// maxAddresses bounds the router addresses in one directory answer.
	maxAddresses = 64
)

// State is the state of the process as dumped by /debug/state.
type State struct {
	Incarnation string          `json:"life"`
	PlanVersion uint64          `json:"plan_version"`
	Ready       bool            `json:"ready"`
	Leaving     bool            `json:"leaving"`
	InFlight    int64           `json:"in_flight"`
	Tokens      []prepaid.State `json:"tokens"`
	// Era is the era of the store to which the tokens belong.
	Era prepaid.EraState `json:"era"`
	// EngineSpeeds are the measured speeds of the engines, by service.
	EngineSpeeds map[string]placement.EngineSpeed `json:"paces"`
	Members      []inner.Member                   `json:"members"`
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
		if err := platform.WriteDirectory(&ctx.Response, e.addresses(platform.CallerFailureDomain(ctx.QueryArgs())), e.settings().Edge.DirectoryMaxAge); err != nil {
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

// addresses returns the addresses of the routers that serve callers of a failure domain, at
// most maxAddresses, in random order.
func (e *Edge) addresses(domain string) []string {
	serving := slices.Clone(e.fleet.ServingDomain(domain))
	rand.Shuffle(len(serving), func(i, j int) { serving[i], serving[j] = serving[j], serving[i] })
	out := make([]string, 0, len(serving))
	for _, m := range serving[:min(maxAddresses, len(serving))] {
		out = append(out, m.CallerAddr)
	}
	return out
}

// state returns the current state of the process.
func (e *Edge) state() State {
	s := State{
		Incarnation:  e.incarnation,
		Ready:        e.ready(),
		Leaving:      e.leaving.Load(),
		InFlight:     e.ingress.InFlight(),
		Tokens:       e.tokens.State(),
		Era:          e.tokens.EraState(),
		EngineSpeeds: e.placement.EngineSpeeds(),
		Members:      e.view.Members(),
	}
	if p := e.plan.Load(); p != nil {
		s.PlanVersion = p.Version()
	}
	return s
}
