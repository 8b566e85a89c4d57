package inner

import (
	"encoding/json"
	"time"
)

// MethodConfiguration asks a router for the changes that the sender does not have.
const MethodConfiguration = "configuration"

// ConfigurationItem is one configured thing with the version that wrote it.
type ConfigurationItem struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Deleted bool            `json:"deleted,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// ConfigurationChange is one accepted command: what it changed, when and by whom.
type ConfigurationChange struct {
	Version   uint64              `json:"version"`
	CommandID string              `json:"command_id"`
	Operator  string              `json:"operator"`
	Command   string              `json:"command"`
	At        time.Time           `json:"at"`
	Items     []ConfigurationItem `json:"items"`
}

// ConfigurationRequest tells the sender's version and asks for what is newer.
type ConfigurationRequest struct {
	// From is the inner address of the sender.
	From string `json:"from,omitempty"`
	// Version is the newest version that the sender has.
	Version uint64 `json:"version"`
	// Whole asks for every item if the changes kept do not reach back to Version.
	Whole bool `json:"whole,omitempty"`
	// Confirm asks the receiver to read the table before it answers.
	Confirm bool `json:"confirm,omitempty"`
}

// ConfigurationResponse holds what is newer than the version asked for.
type ConfigurationResponse struct {
	// Version is the newest version that the receiver has.
	Version uint64 `json:"version"`
	// Ready tells whether the receiver has a configuration.
	Ready bool `json:"ready"`
	// Confirmed tells that the receiver has just read the table.
	Confirmed bool `json:"confirmed,omitempty"`
	// Changes follow the version asked for without a gap.
	Changes []ConfigurationChange `json:"changes,omitempty"`
	// Whole tells that Items are the whole configuration at Version.
	Whole bool                `json:"whole,omitempty"`
	Items []ConfigurationItem `json:"items,omitempty"`
}
