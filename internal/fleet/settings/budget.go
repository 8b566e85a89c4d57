package settings

import "time"

// Budget holds the options of draws and bills.
type Budget struct {
	// DrawSize is the number of tokens drawn at a time.
	DrawSize int64
	// SettleInterval is the time between settlements of bills.
	SettleInterval time.Duration
}

func (s *Budget) options() []*Option {
	return []*Option{
		intOption("budget", "draw_size", "200000", "tokens drawn from a budget at a time", 1, 1<<40, &s.DrawSize),
		durationOption("budget", "settle_interval", "100ms", "time between settlements of bills", 10*time.Millisecond, time.Minute, &s.SettleInterval),
	}
}
