package plan

import (
	"cmp"
	"slices"
	"strings"
)

// Plan is the routing plan of one configuration, indexed for lookups.
type Plan struct {
	version    uint64
	routes     map[string][]*Route // by host, longest prefix first
	services   map[string]*Service
	workspaces map[string]*Workspace // by name
	keys       map[string]*Workspace // by API key
	limits     Limits
	hasHomes   bool
}

// New returns the plan of the configuration. The plan refers to the slices of cfg, which
// must not be modified afterwards.
func New(cfg Config) *Plan {
	p := &Plan{
		version:    cfg.Version,
		routes:     make(map[string][]*Route),
		services:   make(map[string]*Service, len(cfg.Services)),
		workspaces: make(map[string]*Workspace, len(cfg.Workspaces)),
		keys:       make(map[string]*Workspace),
		limits:     cfg.Limits,
		hasHomes:   cfg.hasHomes(),
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

// Limits returns the limits of requests and connections of callers.
func (p *Plan) Limits() Limits { return p.limits }

// Route returns the route of the host with the longest prefix of the path.
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

// WorkspaceByKey returns the workspace that the API key belongs to.
func (p *Plan) WorkspaceByKey(key string) (*Workspace, bool) {
	w, ok := p.keys[key]
	return w, ok
}

// RequiresKey reports whether requests need a key, except those of anonymous routes.
func (p *Plan) RequiresKey() bool { return len(p.workspaces) > 0 }

// PickService returns the name of the service that a fraction in [0, 1) falls to if the services
// divide that interval in proportion to their weights. It returns "" if the weights sum to 0.
func (r *Route) PickService(fraction float64) string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	remaining := fraction * float64(total)
	for _, s := range r.Splits {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return ""
}

// Retryable reports whether a request that has or may have run may be run again.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}
