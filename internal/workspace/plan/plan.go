package plan

import (
	"cmp"
	"slices"
	"strings"
)

// Plan is one version of the routing plan, with its lookups.
type Plan struct {
	version    uint64
	routes     map[string][]*Route // by host, longest prefix first
	services   map[string]*Service
	workspaces map[string]*Workspace // by name
	keys       map[string]*Workspace // by key
	limits     Limits
}

// New returns the plan of a configuration, which must not be changed afterwards.
func New(cfg Config) *Plan {
	p := &Plan{
		version:    cfg.Version,
		routes:     make(map[string][]*Route),
		services:   make(map[string]*Service, len(cfg.Services)),
		workspaces: make(map[string]*Workspace, len(cfg.Workspaces)),
		keys:       make(map[string]*Workspace),
		limits:     cfg.Limits,
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		p.routes[r.Host] = append(p.routes[r.Host], r)
	}
	for _, routes := range p.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range cfg.Services {
		p.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Workspaces {
		w := &cfg.Workspaces[i]
		p.workspaces[w.Name] = w
		for _, key := range w.Keys {
			p.keys[key] = w
		}
	}
	return p
}

// Version returns the version of the configuration.
func (p *Plan) Version() uint64 { return p.version }

// Limits returns what bounds the callers.
func (p *Plan) Limits() Limits { return p.limits }

// Route returns the route with the longest prefix that begins the path.
func (p *Plan) Route(host, path string) (*Route, bool) {
	for _, r := range p.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service with the name.
func (p *Plan) Service(name string) (*Service, bool) {
	s, ok := p.services[name]
	return s, ok
}

// Workspace returns the workspace with the name.
func (p *Plan) Workspace(name string) (*Workspace, bool) {
	w, ok := p.workspaces[name]
	return w, ok
}

// WorkspaceByKey returns the workspace that the key admits to.
func (p *Plan) WorkspaceByKey(key string) (*Workspace, bool) {
	w, ok := p.keys[key]
	return w, ok
}

// Keyed reports whether requests need a key.
func (p *Plan) Keyed() bool { return len(p.workspaces) > 0 }

// Pick returns the service of the route for a number from 0 to 1, in proportion to
// the weights, or "" if the route leads nowhere.
func (r *Route) Pick(at float64) string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	left := at * float64(total)
	for _, s := range r.Splits {
		left -= float64(s.Weight)
		if left < 0 {
			return s.Service
		}
	}
	return ""
}

// MayRepeat reports whether a request that may have run may run again.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}
