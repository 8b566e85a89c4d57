package router

import (
	"time"

	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/request/admission"
	"rosevalve/internal/request/claim"
	"rosevalve/internal/request/dispatch"
	"rosevalve/internal/request/gateway"
	"rosevalve/internal/request/register"
	"rosevalve/internal/target/runner"
)

// relayTimeout is the longest silence of a router that relays a run.
const relayTimeout = 5 * time.Second

// connectRequests builds the path of a caller's request.
func (r *Router) connectRequests() {
	cfg := r.Settings.Request
	r.register = &register.Register{}
	client := &runner.Client{FirstByte: cfg.FirstByteTimeout, Progress: cfg.ProgressTimeout, MaxAge: cfg.ConnectionMaxAge}
	// A router that relays a run sends a comment every few seconds.
	routers := &runner.Client{FirstByte: relayTimeout, Progress: relayTimeout}
	r.gateway = &gateway.Gateway{
		Snapshot: r.catalogue.Current,
		Register: r.register,
		Purse:    r.purse,
		Dispatcher: &dispatch.Dispatcher{
			Acquire: r.queues.Acquire,
			Stream:  client.Stream,
			Resume:  client.Resume,
			Cancel:  client.Cancel,
			Call:    client.Call,
		},
		Claims:   &claim.Registry{Commit: r.table.Commit, Get: r.table.Get},
		Entries:  r.entriesFor,
		Leaving:  r.leaving.Load,
		Draining: r.draining.Load,
		Limits:   admission.Limits{MaxTokens: cfg.MaxTokens, DefaultTokens: cfg.DefaultTokens},
		Holder:   r.id,
		Homes:    r.homes,
		Attach:   routers.Attach,
		MaxRuns:  int(cfg.MaxRuns),
		Log:      r.Log,
	}
}

// connectRuns builds the memory of which router runs a key.
func (r *Router) connectRuns() {
	r.homes = &register.Homes{Self: r.view.Self, Members: r.view.Members, Call: r.links.Call}
	r.links.Handlers[inner.MethodRunBegin] = r.homes.HandleBegin
	r.links.Handlers[inner.MethodRunPlace] = r.homes.HandlePlace
	r.links.Handlers[inner.MethodRunEnd] = r.homes.HandleEnd
}
