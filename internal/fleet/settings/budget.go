package settings

import "time"

// Budget holds the options of draws, bills and reclaimed holdings.
type Budget struct {
	// Horizon is the time for which a draw covers the demand.
	Horizon time.Duration
	// SettleInterval is the time between settlements of bills.
	SettleInterval time.Duration
	// IdleAfter is how long tokens are kept without a request.
	IdleAfter time.Duration
	// ReclaimInterval is the time between searches for holdings to reclaim.
	ReclaimInterval time.Duration
	// ReclaimAfter is how long a router must be missing until its holdings are closed.
	ReclaimAfter time.Duration
	// CancelAfter is how long a router must be missing until its runs are cancelled.
	CancelAfter time.Duration
}

func (s *Budget) options() []*Option {
	return []*Option{
		durationOption("budget", "horizon", "60s", "time for which a draw covers the demand", time.Second, time.Hour, &s.Horizon),
		durationOption("budget", "settle_interval", "1s", "time between settlements of bills", 10*time.Millisecond, time.Minute, &s.SettleInterval),
		durationOption("budget", "idle_after", "30s", "time that unused tokens are kept", time.Second, time.Hour, &s.IdleAfter),
		durationOption("budget", "reclaim_interval", "2s", "time between searches for holdings to reclaim", 100*time.Millisecond, time.Hour, &s.ReclaimInterval),
		durationOption("budget", "reclaim_after", "5s", "time that a router is missing until its holdings are closed", time.Second, time.Hour, &s.ReclaimAfter),
		durationOption("budget", "cancel_after", "60s", "time that a router is missing until its runs are cancelled", time.Second, 24*time.Hour, &s.CancelAfter),
	}
}
