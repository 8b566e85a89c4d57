package settings

import "time"

// Budget holds the options of drawing tokens from the store, settling bills and reclaiming the
// holdings of missing routers.
type Budget struct {
	// Horizon is the duration for which a draw covers the expected demand.
	Horizon time.Duration
	// SettleInterval is the time between settlements of pending bills.
	SettleInterval time.Duration
	// IdleTimeout is how long free tokens are kept when there are no requests.
	IdleTimeout time.Duration
	// ReclaimInterval is the time between searches for holdings to reclaim.
	ReclaimInterval time.Duration
	// ReclaimAfter is how long a router must be missing before its holdings are closed.
	ReclaimAfter time.Duration
	// CancelAfter is how long a router must be missing before its runs at targets are cancelled.
	CancelAfter time.Duration
}

func (s *Budget) options() []*Option {
	return []*Option{
		durationOption("budget", "horizon", "60s", "duration for which a draw covers the expected demand", time.Second, time.Hour, &s.Horizon),
		durationOption("budget", "settle_interval", "1s", "time between settlements of pending bills", 10*time.Millisecond, time.Minute, &s.SettleInterval),
		durationOption("budget", "idle_after", "30s", "how long free tokens are kept when there are no requests", time.Second, time.Hour, &s.IdleTimeout),
		durationOption("budget", "reclaim_interval", "2s", "time between searches for holdings to reclaim", 100*time.Millisecond, time.Hour, &s.ReclaimInterval),
		durationOption("budget", "reclaim_after", "5s", "how long a router must be missing before its holdings are closed", time.Second, time.Hour, &s.ReclaimAfter),
		durationOption("budget", "cancel_after", "60s", "how long a router must be missing before its runs at targets are cancelled", time.Second, 24*time.Hour, &s.CancelAfter),
	}
}
