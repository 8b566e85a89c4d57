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
	"rosevalve/internal/workspace/quota"
)

// relayIdleTimeout is the longest time that a relaying router may send nothing. It sends
// a comment every few seconds.
const relayIdleTimeout = 5 * time.Second

// buildRequests builds the components that process callers' requests.
func (r *Router) buildRequests() {
	cfg := r.Settings.Request
	r.registry = &register.Registry{}
	targetClient := &runner.Client{FirstByteTimeout: cfg.FirstByteTimeout, ProgressTimeout: cfg.ProgressTimeout, MaxConnAge: cfg.ConnectionMaxAge}
	relayClient := &runner.Client{FirstByteTimeout: relayIdleTimeout, ProgressTimeout: relayIdleTimeout}
	r.gateway = &gateway.Gateway{
		Snapshot: r.catalogue.Current,
		Register: r.registry,
		Tokens:   r.allotments,
		Dispatcher: &dispatch.Dispatcher{
			Acquire: r.queues.Acquire,
			Stream:  targetClient.Stream,
			Resume:  targetClient.Resume,
			Cancel:  targetClient.Cancel,
			Call:    targetClient.CallService,

			Quarantine: r.quarantine,
			Crashes:    r.crashes,
			Log:        r.Log,
		},
		Claims:      &claim.Registry{Commit: r.table.Commit, Get: r.table.Get},
		Entries:     r.entriesForCaller,
		Stopping:    r.leaving.Load,
		Draining:    r.draining.Load,
		Accepts:     r.admission.Accepts,
		Limits:      admission.Limits{MaxTokens: cfg.MaxTokens, DefaultTokens: cfg.DefaultTokens},
		Incarnation: r.id,
		Directory:   r.runLocator,
		StreamFrom:  relayClient.StreamFrom,
		Quota:       &quota.Limiter{Routers: r.routersAlive},
		MaxRuns:     int(cfg.MaxRuns),
		Log:         r.Log,
	}
}

// buildRunLocator builds the component that finds which router runs the request with an
// idempotency key.
func (r *Router) buildRunLocator() {
	r.runLocator = &register.Directory{Self: r.view.Self, Members: r.view.Members, Call: r.peers.Call}
	r.peers.Handlers[inner.MethodRunBegin] = r.runLocator.HandleRegister
	r.peers.Handlers[inner.MethodRunUpdate] = r.runLocator.HandleUpdateLocation
	r.peers.Handlers[inner.MethodRunEnd] = r.runLocator.HandleRemove
}

// routersAlive returns the number of routers that the membership view has as alive,
// this one included.
func (r *Router) routersAlive() int {
	n := 0
	for _, m := range r.view.Members() {
		if m.State == inner.Alive {
			n++
		}
	}
	return n
}
