package settings

import "time"

// Load holds the options of queues, concurrency limits and load balancing.
type Load struct {
	// MaxUrgentWait is the longest expected queue wait at which an urgent request is admitted.
	MaxUrgentWait time.Duration
	// MaxLongWait is the longest expected queue wait at which a long request is admitted.
	MaxLongWait time.Duration
	// UrgentHeadStart is the number of tokens by which a workspace's urgent requests may exceed its
	// fair share before they lose their priority.
	UrgentHeadStart int64
	// UrgentReserve is the percentage of each target's concurrency limit that is reserved for
	// urgent requests.
	UrgentReserve int64
	// LongShare is the percentage of a workspace's tokens that its long requests get while it also has
	// urgent ones.
	LongShare int64
	// FirstTokenGoal is the time from sending an urgent request to its first token above which the
	// target counts as slow.
	FirstTokenGoal time.Duration
	// TokenGapGoal is the time between two tokens above which the target counts as slow.
	TokenGapGoal time.Duration
	// InitialLimit is the concurrency limit of a new target, in requests.
	InitialLimit int64
	// MaxLimit is the largest value of the adaptive concurrency limit of a target, in requests.
	MaxLimit int64
	// SubsetSize is the largest number of targets of one model that a router uses.
	SubsetSize int64
	// AffinityBound is the load, as a percentage of the mean load, up to which a target is chosen for
	// its cached prefix.
	AffinityBound int64
	// SilenceTimeout is the time without a token after which an engine with requests in progress is avoided.
	SilenceTimeout time.Duration
	// VMListInterval is the time between two polls of the platform's VM list.
	VMListInterval time.Duration
	// ReportInterval is the time between two polls of the load report of one engine.
	ReportInterval time.Duration
}

func (s *Load) options() []*Option {
	return []*Option{
		durationOption("load", "urgent_wait", "100ms", "longest expected queue wait at which an urgent request is admitted", time.Millisecond, time.Hour, &s.MaxUrgentWait),
		durationOption("load", "long_wait", "30s", "longest expected queue wait at which a long request is admitted", time.Millisecond, 24*time.Hour, &s.MaxLongWait),
		intOption("load", "urgent_head_start", "20000", "tokens by which a workspace's urgent requests may exceed its fair share before they lose their priority", 1, 1<<40, &s.UrgentHeadStart),
		intOption("load", "urgent_reserve", "20", "percentage of each target's concurrency limit that is reserved for urgent requests", 1, 90, &s.UrgentReserve),
		intOption("load", "long_share", "10", "percentage of a workspace's tokens that its long requests get while it also has urgent ones", 1, 90, &s.LongShare),
		durationOption("load", "first_token_goal", "250ms", "time from sending an urgent request to its first token above which the target counts as slow", time.Millisecond, time.Hour, &s.FirstTokenGoal),
		durationOption("load", "token_gap_goal", "62ms", "time between two tokens above which the target counts as slow", time.Millisecond, time.Hour, &s.TokenGapGoal),
		intOption("load", "initial_limit", "8", "concurrency limit of a new target, in requests", 1, 1<<16, &s.InitialLimit),
		intOption("load", "max_limit", "512", "largest value of the adaptive concurrency limit of a target, in requests", 1, 1<<16, &s.MaxLimit),
		intOption("load", "subset", "16", "largest number of targets of one model that a router uses", 1, 1<<16, &s.SubsetSize),
		intOption("load", "affinity_bound", "125", "load, as a percentage of the mean load, up to which a target is chosen for its cached prefix", 100, 10000, &s.AffinityBound),
		durationOption("load", "patience", "2s", "time without a token after which an engine with requests in progress is avoided", 10*time.Millisecond, time.Hour, &s.SilenceTimeout),
		durationOption("load", "vm_list_interval", "1s", "time between two polls of the platform's VM list", 10*time.Millisecond, time.Minute, &s.VMListInterval),
		durationOption("load", "report_interval", "1s", "time between two polls of the load report of one engine", 10*time.Millisecond, time.Hour, &s.ReportInterval),
	}
}
