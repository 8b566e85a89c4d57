package plan

import "slices"

// Homes are the regions whose targets may run a request.
type Homes struct {
	// Restricted is set if there are such regions; otherwise every target may run the request.
	Restricted bool
	// Regions are these regions. It may be empty, so that no target may run the request.
	Regions []string
}

// Allow reports whether targets in a region may run the request. The empty region stands for an unknown one.
func (h Homes) Allow(region string) bool {
	return !h.Restricted || region != "" && slices.Contains(h.Regions, region)
}

// HomesOf returns the homes of the requests of a workspace on a route: the regions that both allow, as far as they
// restrict them. The workspace is nil for anonymous requests.
func HomesOf(r *Route, w *Workspace) Homes {
	switch {
	case w == nil || len(w.HomeRegions) == 0:
		return Homes{Restricted: len(r.HomeRegions) > 0, Regions: r.HomeRegions}
	case len(r.HomeRegions) == 0:
		return Homes{Restricted: true, Regions: w.HomeRegions}
	}
	out := Homes{Restricted: true}
	for _, region := range r.HomeRegions {
		if slices.Contains(w.HomeRegions, region) {
			out.Regions = append(out.Regions, region)
		}
	}
	return out
}

// HasHomes reports whether a route or a workspace has homes.
func (p *Plan) HasHomes() bool { return p.hasHomes }

// hasHomes reports whether a route or a workspace of the configuration has homes.
func (c *Config) hasHomes() bool {
	return slices.ContainsFunc(c.Routes, func(r Route) bool { return len(r.HomeRegions) > 0 }) ||
		slices.ContainsFunc(c.Workspaces, func(w Workspace) bool { return len(w.HomeRegions) > 0 })
}
