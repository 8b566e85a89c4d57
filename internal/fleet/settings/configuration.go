package settings

import "time"

// Configuration holds the options of the fleet's configuration.
type Configuration struct {
	// PollInterval is the least time between reads of the table.
	PollInterval time.Duration
	// GossipInterval is the time between questions to other routers.
	GossipInterval time.Duration
	// KeepChanges is the number of changes that stay in the table's log.
	KeepChanges int64
}

func (s *Configuration) options() []*Option {
	return []*Option{
		durationOption("configuration", "poll_interval", "1s", "least time between reads of the table for new configuration", 100*time.Millisecond, 5*time.Second, &s.PollInterval),
		durationOption("configuration", "gossip_interval", "1s", "time between questions to other routers for new configuration", 100*time.Millisecond, 5*time.Second, &s.GossipInterval),
		intOption("configuration", "keep_changes", "10000", "changes that stay in the table's log; older ones are archived", 100, 1<<30, &s.KeepChanges),
	}
}
