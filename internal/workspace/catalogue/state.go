package catalogue

import "expvar"

var (
	polls       = expvar.NewInt("config_polls")
	failedPolls = expvar.NewInt("config_failed_polls")
	installs    = expvar.NewInt("config_installs")
	accepts     = expvar.NewInt("config_accepted_commands")
	refusals    = expvar.NewInt("config_refused_commands")
)

// State is the part of the state dump of the process that describes the catalogue.
type State struct {
	// Version is the version of the current snapshot.
	Version uint64 `json:"version"`
	// Ready is set once a snapshot has been installed.
	Ready bool `json:"ready"`
	// PollFailed is set if the most recent poll of the table failed.
	PollFailed bool `json:"outage"`
	// HighestReported is the highest version known to exist, such as one that another router reported.
	HighestReported uint64 `json:"heard"`
	// Items is the number of items in the current snapshot.
	Items int `json:"items"`
}

// State returns the current state for the state dump of the process.
func (c *Catalogue) State() State {
	s := c.Current()
	return State{Version: s.version, Ready: c.Ready(), PollFailed: c.pollFailed.Load(), HighestReported: c.highestReported.Load(), Items: len(s.items)}
}
