package settings

import "time"

// Fleet holds the options of the routers among themselves.
type Fleet struct {
	// Seeds is the inner addresses that are asked first.
	Seeds []string
	// HeartbeatInterval is the time between heartbeats to peers.
	HeartbeatInterval time.Duration
}

func (s *Fleet) options() []*Option {
	return []*Option{
		addrsOption("fleet", "seeds", "", "inner addresses of other routers, separated by commas", &s.Seeds),
		durationOption("fleet", "heartbeat_interval", "500ms", "time between heartbeats to peers", 50*time.Millisecond, time.Minute, &s.HeartbeatInterval),
	}
}
