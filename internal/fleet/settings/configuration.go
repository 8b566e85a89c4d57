package settings

import "time"

// Configuration holds the options of distributing the fleet's configuration.
type Configuration struct {
	// PollInterval is the shortest time between polls of the table for new configuration.
	PollInterval time.Duration
	// GossipInterval is the time between requests to other routers for new configuration.
	GossipInterval time.Duration
	// KeepChanges is the number of changes kept in the table's log; older ones are archived.
	KeepChanges int64
}

func (s *Configuration) options() []*Option {
	return []*Option{
		durationOption("configuration", "poll_interval", "1s", "shortest time between polls of the table for new configuration", 100*time.Millisecond, 5*time.Second, &s.PollInterval),
		durationOption("configuration", "gossip_interval", "1s", "time between requests to other routers for new configuration", 100*time.Millisecond, 5*time.Second, &s.GossipInterval),
		intOption("configuration", "keep_changes", "10000", "number of changes kept in the table's log; older ones are archived", 100, 1<<30, &s.KeepChanges),
	}
}
