package settings

import "time"

// Router holds the options of a router process.
type Router struct {
	// Listen is the address for callers and operators.
	Listen string
	// InnerListen is the address for other routers.
	InnerListen string
	// FailureDomain is the failure domain of the VM.
	FailureDomain string
	// Region is the region of the VM, a group of failure domains.
	Region string
	// Regions are the regions of failure domains, by domain.
	Regions map[string]string
	// EntryMaxAge is how long callers may cache a list of routers.
	EntryMaxAge time.Duration
	// DrainTimeout is the longest duration of a graceful shutdown.
	DrainTimeout time.Duration
}

func (s *Router) options() []*Option {
	return []*Option{
		addrOption("router", "listen", "127.0.0.1:7001", "address for callers and operators", &s.Listen),
		addrOption("router", "inner_listen", "127.0.0.1:7101", "address for other routers", &s.InnerListen),
		wordOption("router", "failure_domain", "fd-1", "failure domain of this VM", &s.FailureDomain),
		wordOption("router", "region", "region-1", "region of this VM", &s.Region),
		pairsOption("router", "regions", "", "region of each failure domain, for routes and workspaces with home regions; that of this VM need not be given", &s.Regions),
		durationOption("router", "entry_max_age", "5s", "how long callers may cache a list of routers", time.Second, time.Hour, &s.EntryMaxAge),
		durationOption("router", "drain_limit", "5m", "longest duration of a graceful shutdown", time.Second, time.Hour, &s.DrainTimeout),
	}
}
