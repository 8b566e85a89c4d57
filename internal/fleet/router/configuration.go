package router

import (
	"context"
	"fmt"

	"github.com/alitto/pond/v2"

	"rosevalve/internal/platform/object"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/target/order"
	"rosevalve/internal/workspace/catalogue"
	"rosevalve/internal/workspace/operator"
)

// maxConcurrentCalls is the maximum number of concurrent calls when one operator command
// calls every router.
const maxConcurrentCalls = 32

// buildConfiguration builds the configuration catalogue and the executor of operator
// commands.
func (r *Router) buildConfiguration() {
	cfg := r.Settings.Configuration
	r.catalogue = &catalogue.Catalogue{
		PollInterval:   cfg.PollInterval,
		GossipInterval: cfg.GossipInterval,
		KeepChanges:    uint64(cfg.KeepChanges),
		Commit:         r.table.Commit,
		Get:            r.table.Get,
		Scan:           r.table.Scan,
		QueryPeer:      r.requestConfiguration,
		Addr:           r.Settings.Router.InnerListen,
		Peers:          r.peerAddrs,
		OnChange:       r.targets.Update,
		OnError:        func(err error) { r.Log.Warn("configuration refresh failed", "err", err) },
	}
	objectClient := &object.Client{Addr: r.Settings.Platform.Addr, HTTP: r.platformHTTP}
	r.catalogue.Archive = objectClient.Put
	orders := &order.Commander{Holder: r.id, Commit: r.table.Commit, Get: r.table.Get}
	r.executor = &operator.Executor{
		Catalogue:     r.catalogue,
		Routers:       r.routerTable,
		QueryVersions: r.configVersions,
		ReleaseTarget: orders.ReleaseClaim,
	}
}

// routerTable returns a table of the routers in the membership view.
func (r *Router) routerTable(context.Context) (operator.Table, error) {
	t := operator.Table{Columns: []operator.Column{
		{Name: "id"}, {Name: "caller_addr"}, {Name: "failure_domain"}, {Name: "state"},
	}}
	for _, row := range r.routerRows() {
		cells := make([]operator.Cell, len(row))
		for i, text := range row {
			cells[i] = operator.TextCell(text)
		}
		t.Rows = append(t.Rows, cells)
	}
	return t, nil
}

// configVersions returns the configuration version that this router and each known
// peer have in force. A peer that does not answer has Ready false.
func (r *Router) configVersions(ctx context.Context) []operator.RouterVersion {
	addrs := r.peerAddrs()
	out := make([]operator.RouterVersion, len(addrs)+1)
	out[0] = operator.RouterVersion{
		Router: r.Settings.Router.InnerListen, Ready: r.catalogue.Ready(), Version: r.catalogue.Current().Version(),
	}
	pool := pond.NewPool(maxConcurrentCalls)
	defer pool.StopAndWait()
	group := pool.NewGroup()
	for i, addr := range addrs {
		group.Submit(func() {
			answer, err := r.requestConfiguration(ctx, addr, inner.ConfigurationRequest{
				From: r.Settings.Router.InnerListen, Version: r.catalogue.Current().Version(),
			})
			out[i+1] = operator.RouterVersion{Router: addr, Ready: err == nil && answer.Ready, Version: answer.Version}
		})
	}
	if err := group.Wait(); err != nil {
		r.Log.Warn("reading configuration versions of routers failed", "err", err)
	}
	return out
}

// requestConfiguration asks the router at addr for the configuration changes that this
// router does not have.
func (r *Router) requestConfiguration(ctx context.Context, addr string, in inner.ConfigurationRequest) (inner.ConfigurationResponse, error) {
	var out inner.ConfigurationResponse
	call := r.peers.Call
	if in.Whole {
		call = r.peers.Fetch
	}
	if err := call(ctx, addr, inner.MethodConfiguration, in, &out); err != nil {
		return out, fmt.Errorf("request configuration: %w", err)
	}
	return out, nil
}

// peerAddrs returns the inner addresses of the other routers that are not known to be
// dead, or of the seeds if there are no such routers.
func (r *Router) peerAddrs() []string {
	self := r.Settings.Router.InnerListen
	var out []string
	for _, m := range r.view.Members() {
		if m.State != inner.Dead && m.InnerAddr != self {
			out = append(out, m.InnerAddr)
		}
	}
	if len(out) > 0 {
		return out
	}
	for _, addr := range r.Settings.Fleet.Seeds {
		if addr != self {
			out = append(out, addr)
		}
	}
	return out
}
