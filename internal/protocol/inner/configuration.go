package inner

import (
	"encoding/json"
	"time"
)

// MethodConfiguration requests the configuration changes that the sender lacks.
const MethodConfiguration = "configuration"

// ConfigurationItem is one configured object with the version of the change that wrote it.
type ConfigurationItem struct {
	// Kind and Name identify the object.
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Deleted bool            `json:"deleted,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// ConfigurationChange is one accepted operator command: the items it changed, its time and
// the operator who issued it.
type ConfigurationChange struct {
	Version uint64 `json:"version"`
	// CommandID identifies the command; a repetition of the command has the same ID.
	CommandID string              `json:"command_id"`
	Operator  string              `json:"operator"`
	Command   string              `json:"command"`
	At        time.Time           `json:"at"`
	Items     []ConfigurationItem `json:"items"`
}

// ConfigurationRequest reports the sender's version and requests newer changes.
type ConfigurationRequest struct {
	// From is the inner address of the sender.
	From string `json:"from,omitempty"`
	// Version is the newest version that the sender has.
	Version uint64 `json:"version"`
	// Whole requests all items if the receiver no longer has every change since Version.
	Whole bool `json:"whole,omitempty"`
	// Confirm requests that the receiver read the table before it answers.
	Confirm bool `json:"confirm,omitempty"`
}

// ConfigurationResponse holds what is newer than the requested version.
type ConfigurationResponse struct {
	// Version is the newest version that the receiver has.
	Version uint64 `json:"version"`
	// Ready reports whether the receiver has a configuration.
	Ready bool `json:"ready"`
	// Confirmed reports that the receiver read the table for this request.
	Confirmed bool `json:"confirmed,omitempty"`
	// Changes are consecutive changes, starting right after the requested version.
	Changes []ConfigurationChange `json:"changes,omitempty"`
	// Whole reports that Items is the whole configuration at Version.
	Whole bool                `json:"whole,omitempty"`
	Items []ConfigurationItem `json:"items,omitempty"`
}
