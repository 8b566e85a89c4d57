package settings

import "time"

// Edge holds the options of a router that serves routed requests.
type Edge struct {
	// VM names the VM, over all lives of its processes.
	VM string
	// ReadyListen is the address of the readiness check.
	ReadyListen string
	// DirectoryListen is the address where callers ask which routers to use.
	DirectoryListen string
	// MetricsListen is the address of metrics and of the state dump.
	MetricsListen string
	// InnerAddress is where other routers reach this one, if not at its own inner address.
	InnerAddress string
	// Cores is the processor time that the VM gives this process, in cores.
	Cores float64
	// MemoryMB is the memory that the VM gives this process, in megabytes.
	MemoryMB float64
	// LinkMbps is the bandwidth of the VM's link, in megabits a second.
	LinkMbps float64
	// MaxAge is how long callers may keep the list of routers.
	MaxAge time.Duration
	// RetryRatio is the number of repeats that each request earns.
	RetryRatio float64
	// RetrySlack is the number of repeats that the fleet may make besides.
	RetrySlack float64
	// RetryWindow is the time over which repeats are counted.
	RetryWindow time.Duration
}

func (s *Edge) options() []*Option {
	return []*Option{
		wordOption("edge", "vm", "vm-1", "name of this VM, over all lives of its processes", &s.VM),
		addrOption("edge", "ready_listen", "127.0.0.1:7002", "address of the readiness check", &s.ReadyListen),
		addrOption("edge", "directory_listen", "127.0.0.1:7003", "address where callers ask which routers to use", &s.DirectoryListen),
		addrOption("edge", "metrics_listen", "127.0.0.1:7004", "address of metrics and of the state dump", &s.MetricsListen),
		optionalAddrOption("edge", "inner_address", "address where other routers reach this one, if it is not [router] inner_listen", &s.InnerAddress),
		numberOption("edge", "cores", "1", "processor time that the VM gives this process, in cores", 0.01, 1024, &s.Cores),
		numberOption("edge", "memory_mb", "256", "memory that the VM gives this process, in megabytes", 32, 1e6, &s.MemoryMB),
		numberOption("edge", "link_mbps", "1000", "bandwidth of the VM's link, in megabits a second", 0.1, 1e6, &s.LinkMbps),
		durationOption("edge", "max_age", "1s", "how long callers may keep the list of routers", 100*time.Millisecond, time.Hour, &s.MaxAge),
		numberOption("edge", "retry_ratio", "0.2", "repeats that each request of a service earns", 0, 1, &s.RetryRatio),
		numberOption("edge", "retry_slack", "10", "repeats of a service that all routers may make besides", 0, 1e6, &s.RetrySlack),
		durationOption("edge", "retry_window", "10s", "time over which repeats are counted", time.Second, time.Hour, &s.RetryWindow),
	}
}
