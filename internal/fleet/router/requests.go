package router

import (
	"github.com/valyala/fasthttp"

	"rosevalve/internal/fleet/entry"
	"rosevalve/internal/request/admission"
	"rosevalve/internal/request/claim"
	"rosevalve/internal/request/dispatch"
	"rosevalve/internal/request/gateway"
	"rosevalve/internal/request/register"
	"rosevalve/internal/target/runner"
)

// connectRequests builds the path of a caller's request.
func (r *Router) connectRequests() {
	cfg := r.Settings.Request
	r.register = &register.Register{}
	client := &runner.Client{Progress: cfg.ProgressTimeout}
	client.Start()
	r.gateway = &gateway.Gateway{
		Snapshot: r.catalogue.Current,
		Register: r.register,
		Purse:    r.purse,
		Dispatcher: &dispatch.Dispatcher{
			Engine:  r.targets.Engine,
			Service: r.targets.Service,
			Stream:  client.Stream,
			Resume:  client.Resume,
			Cancel:  client.Cancel,
			Call:    client.Call,
		},
		Claims:   &claim.Registry{Commit: r.table.Commit, Get: r.table.Get},
		Entries:  func(ctx *fasthttp.RequestCtx) entry.Answer { return r.directory.Answer(ctx.RemoteAddr().String()) },
		Draining: r.draining.Load,
		Limits:   admission.Limits{MaxTokens: cfg.MaxTokens, DefaultTokens: cfg.DefaultTokens},
		Holder:   r.id,
		Log:      r.Log,
	}
}
