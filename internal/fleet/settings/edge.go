package settings

import "time"

// Edge holds the options of a router that serves routed requests.
type Edge struct {
	// VM is the name of the VM, which stays the same when its process restarts.
	VM string
	// ReadyListen is the address of the readiness check.
	ReadyListen string
	// DirectoryListen is the address where callers get the list of routers to use.
	DirectoryListen string
	// MetricsListen is the address of the metrics and the state dump.
	MetricsListen string
	// InnerAddress is the address where other routers reach this one; empty means the address of
	// [router] inner_listen.
	InnerAddress string
	// Cores is the processor time available to this process, in cores.
	Cores float64
	// MemoryMB is the memory available to this process, in megabytes.
	MemoryMB float64
	// CallerMemoryShare is the share of the memory for what callers send and have not been answered.
	CallerMemoryShare float64
	// MaxDescriptors is the largest number of open files and sockets; 0 means the limit of the process.
	MaxDescriptors int64
	// WriteStall is how long a caller may take to receive 16 KiB of its answer.
	WriteStall time.Duration
	// LinkMbps is the bandwidth of the VM's network link, in megabits per second.
	LinkMbps float64
	// DirectoryMaxAge is how long callers may cache the list of routers.
	DirectoryMaxAge time.Duration
	// WithdrawFor is how long the readiness check fails after this router was overloaded; 0 means never.
	WithdrawFor time.Duration
	// RetryRatio is the number of retries that each request of a service adds to the retry budget.
	RetryRatio float64
	// RetrySlack is the number of retries of a service that all routers together may make in addition.
	RetrySlack float64
	// RetryWindow is the time window over which requests and retries are counted.
	RetryWindow time.Duration
	// TargetSpeeds is "alike" if the targets of a service are equally fast, or "differ" if they are
	// chosen by the speed that their own answers have shown.
	TargetSpeeds string
	// ColdOvershoot and ColdSlack bound the requests of all routers to a cold target in one second: its rate
	// times the first plus the second.
	ColdOvershoot, ColdSlack float64
}

func (s *Edge) options() []*Option {
	return []*Option{
		wordOption("edge", "vm", "vm-1", "name of this VM, which must stay the same when its process restarts", &s.VM),
		addrOption("edge", "ready_listen", "127.0.0.1:7002", "address of the readiness check", &s.ReadyListen),
		addrOption("edge", "directory_listen", "127.0.0.1:7003", "address where callers get the list of routers to use", &s.DirectoryListen),
		addrOption("edge", "metrics_listen", "127.0.0.1:7004", "address of the metrics and the state dump", &s.MetricsListen),
		optionalAddrOption("edge", "inner_address", "address where other routers reach this one, if it is not [router] inner_listen", &s.InnerAddress),
		numberOption("edge", "cores", "1", "processor time available to this process, in cores", 0.01, 1024, &s.Cores),
		numberOption("edge", "memory_mb", "256", "memory available to this process, in megabytes", 32, 1e6, &s.MemoryMB),
		numberOption("edge", "caller_memory_share", "0.16", "share of the memory for requests that arrive or are served", 0.02, 0.5, &s.CallerMemoryShare),
		intOption("edge", "max_descriptors", "0", "largest number of open files and sockets, if it is less than the limit of the process; 0 for that limit", 0, 1<<30, &s.MaxDescriptors),
		durationOption("edge", "write_stall", "20s", "how long a caller may take to receive 16 KiB of its answer", 3*time.Second, time.Hour, &s.WriteStall),
		numberOption("edge", "link_mbps", "1000", "bandwidth of the VM's network link, in megabits per second", 0.1, 1e6, &s.LinkMbps),
		durationOption("edge", "max_age", "1s", "how long callers may cache the list of routers", 100*time.Millisecond, time.Hour, &s.DirectoryMaxAge),
		durationOption("edge", "withdraw_for", "0s", "how long the readiness check fails after this router was overloaded while others had room, so that callers leave that stay with one address; 0s means never, and each further overload soon after doubles it", 0, time.Hour, &s.WithdrawFor),
		numberOption("edge", "retry_ratio", "0.2", "retries that each request of a service adds to the retry budget", 0, 1, &s.RetryRatio),
		numberOption("edge", "retry_slack", "10", "retries of a service that all routers together may make in addition", 0, 1e6, &s.RetrySlack),
		orDefault(numberOption("edge", "cold_overshoot", "1.5", "by what factor all routers together may exceed the rate of requests that a cold target bears", 1, 1e3, &s.ColdOvershoot)),
		orDefault(numberOption("edge", "cold_slack", "5", "requests to a cold target that all routers together may send in one second in addition", 0, 1e6, &s.ColdSlack)),
		durationOption("edge", "retry_window", "10s", "time window over which requests and retries are counted", time.Second, time.Hour, &s.RetryWindow),
		choiceOption("edge", "target_speeds", "alike", "whether the targets of a service are equally fast, or differ and are chosen by the speed of their answers", []string{"alike", "differ"}, &s.TargetSpeeds),
	}
}
