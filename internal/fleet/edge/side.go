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
	sideIdle = 10 * time.Second
	// maxAddresses bounds the routers that one caller is told.
	maxAddresses = 64
)

// State is the dump of the process's state.
type State struct {
	Life        string          `json:"life"`
	PlanVersion uint64          `json:"plan_version"`
	Ready       bool            `json:"ready"`
	Leaving     bool            `json:"leaving"`
	InFlight    int64           `json:"in_flight"`
	Tokens      []prepaid.State `json:"tokens"`
	// Era tells which era of the store the tokens belong to.
	Era prepaid.EraState `json:"era"`
	// Paces are what answers show of the engines, by service.
	Paces   map[string]placement.Pace `json:"paces"`
	Members []inner.Member            `json:"members"`
}

// handleSide answers the calls beside requests.
func (e *Edge) handleSide(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch platform.CallOf(path) {
	case platform.CallReady:
		if !e.ready() {
			ctx.Error("not ready\n", fasthttp.StatusServiceUnavailable)
		}
		return
	case platform.CallDirectory:
		if err := platform.WriteDirectory(&ctx.Response, e.addresses(platform.CallerDomain(ctx.QueryArgs())), e.settings().Edge.MaxAge); err != nil {
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

// addresses lists the routers that carry the requests of a failure domain's callers, in
// random order.
func (e *Edge) addresses(domain string) []string {
	carriers := slices.Clone(e.fleet.Near(domain))
	rand.Shuffle(len(carriers), func(i, j int) { carriers[i], carriers[j] = carriers[j], carriers[i] })
	out := make([]string, 0, len(carriers))
	for _, m := range carriers[:min(maxAddresses, len(carriers))] {
		out = append(out, m.CallerAddr)
	}
	return out
}

func (e *Edge) state() State {
	s := State{
		Life:     e.life,
		Ready:    e.ready(),
		Leaving:  e.leaving.Load(),
		InFlight: e.ingress.InFlight(),
		Tokens:   e.purse.State(),
		Era:      e.purse.EraState(),
		Paces:    e.placement.Paces(),
		Members:  e.view.Members(),
	}
	if p := e.plan.Load(); p != nil {
		s.PlanVersion = p.Version()
	}
	return s
}
