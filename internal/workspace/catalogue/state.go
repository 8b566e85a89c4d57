package catalogue

import "expvar"

var (
	polls       = expvar.NewInt("config_polls")
	failedPolls = expvar.NewInt("config_failed_polls")
	installs    = expvar.NewInt("config_installs")
	accepts     = expvar.NewInt("config_accepted_commands")
	refusals    = expvar.NewInt("config_refused_commands")
)

// State describes the configuration of this router for its dump.
type State struct {
	Version uint64 `json:"version"`
	Ready   bool   `json:"ready"`
	// Outage tells that the newest poll of the table failed.
	Outage bool `json:"outage"`
	// Heard is the highest version that another router has named.
	Heard uint64 `json:"heard"`
	Items int    `json:"items"`
}

// State describes the configuration for the dump of the process.
func (c *Catalogue) State() State {
	s := c.Current()
	return State{Version: s.version, Ready: c.Ready(), Outage: c.outage.Load(), Heard: c.heard.Load(), Items: len(s.items)}
}
