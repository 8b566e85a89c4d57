package router

import (
	"context"
	"fmt"

	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/workspace/catalogue"
	"rosevalve/internal/workspace/operator"
)

// connectConfiguration builds the catalogue and the operators' commands.
func (r *Router) connectConfiguration() {
	r.catalogue = &catalogue.Catalogue{
		Commit:   r.table.Commit,
		Get:      r.table.Get,
		Scan:     r.table.Scan,
		AskPeer:  r.askConfiguration,
		Addr:     r.Settings.Router.InnerListen,
		Peers:    r.innerPeers,
		OnChange: r.targets.Update,
		OnError:  func(err error) { r.Log.Warn("refresh configuration", "err", err) },
	}
	r.executor = &operator.Executor{Catalogue: r.catalogue, Routers: r.routerRows}
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
