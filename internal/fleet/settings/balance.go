package settings

import "time"

// Load holds the options of queues, limits and the choice of targets.
type Load struct {
	// UrgentWait is the longest expected wait with which an urgent request is let in.
	UrgentWait time.Duration
	// LongWait is the longest expected wait with which a long request is let in.
	LongWait time.Duration
	// UrgentHeadStart is how far a workspace may exceed its share by urgent requests before they lose their precedence.
	UrgentHeadStart int64
	// UrgentReserve is the percentage of places that long requests leave free.
	UrgentReserve int64
	// LongShare is the percentage of a workspace's tokens that its long requests get beside urgent ones.
	LongShare int64
	// FirstTokenGoal is the time from sending an urgent request to its first token above which a target is slow.
	FirstTokenGoal time.Duration
	// TokenGapGoal is the time between tokens above which a target is slow.
	TokenGapGoal time.Duration
	// InitialLimit is the number of requests that a new target is given at a time.
	InitialLimit int64
	// MaxLimit bounds the learnt number of requests for a target.
	MaxLimit int64
	// Subset is the most targets of one model that a router uses.
	Subset int64
	// AffinityBound is the percentage of the mean load up to which a target is chosen for its cached prefix.
	AffinityBound int64
	// Patience is the time without a token after which a busy engine is avoided.
	Patience time.Duration
	// VMListInterval is the time between two looks at the platform's VM list.
	VMListInterval time.Duration
	// ReportInterval is the time between two load reports of one engine.
	ReportInterval time.Duration
}

func (s *Load) options() []*Option {
	return []*Option{
		durationOption("load", "urgent_wait", "100ms", "longest expected wait with which an urgent request is let in", time.Millisecond, time.Hour, &s.UrgentWait),
		durationOption("load", "long_wait", "30s", "longest expected wait with which a long request is let in", time.Millisecond, 24*time.Hour, &s.LongWait),
		intOption("load", "urgent_head_start", "20000", "tokens by which urgent requests of a workspace may exceed its share before they lose their precedence", 1, 1<<40, &s.UrgentHeadStart),
		intOption("load", "urgent_reserve", "20", "percentage of each target's places that long requests leave free", 1, 90, &s.UrgentReserve),
		intOption("load", "long_share", "10", "percentage of a workspace's tokens that its long requests get beside urgent ones", 1, 90, &s.LongShare),
		durationOption("load", "first_token_goal", "250ms", "time from sending an urgent request to its first token above which a target is slow", time.Millisecond, time.Hour, &s.FirstTokenGoal),
		durationOption("load", "token_gap_goal", "62ms", "time between two tokens above which a target is slow", time.Millisecond, time.Hour, &s.TokenGapGoal),
		intOption("load", "initial_limit", "8", "requests that a new target is given at a time", 1, 1<<16, &s.InitialLimit),
		intOption("load", "max_limit", "512", "largest number of requests that a target is given at a time", 1, 1<<16, &s.MaxLimit),
		intOption("load", "subset", "16", "most targets of one model that a router uses", 1, 1<<16, &s.Subset),
		intOption("load", "affinity_bound", "125", "percentage of the mean load up to which a target is chosen for its cached prefix", 100, 10000, &s.AffinityBound),
		durationOption("load", "patience", "2s", "time without a token after which a busy engine is avoided", 10*time.Millisecond, time.Hour, &s.Patience),
		durationOption("load", "vm_list_interval", "1s", "time between two looks at the platform's VM list", 10*time.Millisecond, time.Minute, &s.VMListInterval),
		durationOption("load", "report_interval", "1s", "time between two load reports of one engine", 10*time.Millisecond, time.Hour, &s.ReportInterval),
	}
}
