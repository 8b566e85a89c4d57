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

// askedAtOnce bounds the routers that are asked for their version at the same time.
const askedAtOnce = 32

// connectConfiguration builds the catalogue and the operators' commands.
func (r *Router) connectConfiguration() {
	cfg := r.Settings.Configuration
	r.catalogue = &catalogue.Catalogue{
		PollInterval:   cfg.PollInterval,
		GossipInterval: cfg.GossipInterval,
		KeepChanges:    uint64(cfg.KeepChanges),
		Commit:         r.table.Commit,
		Get:            r.table.Get,
		Scan:           r.table.Scan,
		AskPeer:        r.askConfiguration,
		Addr:           r.Settings.Router.InnerListen,
		Peers:          r.innerPeers,
		OnChange:       r.targets.Update,
		OnError:        func(err error) { r.Log.Warn("refresh configuration", "err", err) },
	}
	objects := &object.Client{Addr: r.Settings.Platform.Addr, HTTP: r.platform}
	r.catalogue.Archive = objects.Put
	desk := &order.Desk{Holder: r.id, Commit: r.table.Commit, Get: r.table.Get}
	r.executor = &operator.Executor{
		Catalogue:     r.catalogue,
		Routers:       r.routerTable,
		Versions:      r.versions,
		ReleaseTarget: desk.Release,
	}
}

// routerTable lists the routers for operators.
func (r *Router) routerTable(context.Context) (operator.Table, error) {
	t := operator.Table{Columns: []operator.Column{
		{Name: "id"}, {Name: "caller_addr"}, {Name: "failure_domain"}, {Name: "state"},
	}}
	for _, row := range r.routerRows() {
		cells := make([]operator.Cell, len(row))
		for i, text := range row {
			cells[i] = operator.Text(text)
		}
		t.Rows = append(t.Rows, cells)
	}
	return t, nil
}

// versions asks every known router which configuration it has in force.
func (r *Router) versions(ctx context.Context) []operator.RouterVersion {
	addrs := r.innerPeers()
	out := make([]operator.RouterVersion, len(addrs)+1)
	out[0] = operator.RouterVersion{
		Router: r.Settings.Router.InnerListen, Known: r.catalogue.Ready(), Version: r.catalogue.Current().Version(),
	}
	pool := pond.NewPool(askedAtOnce)
	defer pool.StopAndWait()
	group := pool.NewGroup()
	for i, addr := range addrs {
		group.Submit(func() {
			answer, err := r.askConfiguration(ctx, addr, inner.ConfigurationRequest{
				From: r.Settings.Router.InnerListen, Version: r.catalogue.Current().Version(),
			})
			out[i+1] = operator.RouterVersion{Router: addr, Known: err == nil && answer.Ready, Version: answer.Version}
		})
	}
	if err := group.Wait(); err != nil {
		r.Log.Warn("ask routers for their versions", "err", err)
	}
	return out
}

func (r *Router) askConfiguration(ctx context.Context, addr string, in inner.ConfigurationRequest) (inner.ConfigurationResponse, error) {
	var out inner.ConfigurationResponse
	if err := r.links.Call(ctx, addr, inner.MethodConfiguration, in, &out); err != nil {
		return out, fmt.Errorf("ask for configuration: %w", err)
	}
	return out, nil
}

// innerPeers lists the other routers, or the seeds while none is known.
func (r *Router) innerPeers() []string {
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
