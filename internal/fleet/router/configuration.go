package router

import (
	"rosevalve/internal/workspace/catalogue"
	"rosevalve/internal/workspace/operator"
)

// connectConfiguration builds the catalogue and the operators' commands.
func (r *Router) connectConfiguration() {
	r.catalogue = &catalogue.Catalogue{
		Commit:   r.table.Commit,
		Get:      r.table.Get,
		Scan:     r.table.Scan,
		OnChange: r.targets.Update,
		OnError:  func(err error) { r.Log.Warn("refresh configuration", "err", err) },
	}
	r.executor = &operator.Executor{Catalogue: r.catalogue, Routers: r.routerRows}
}
