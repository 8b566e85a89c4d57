package inner

// Heartbeat asks whether the receiver is alive and carries what changed of late.
type Heartbeat struct {
	// Sender is the sender's statement about itself.
	Sender Member `json:"sender"`
	// Events are the freshest statements about others, bounded in number.
	Events []Member `json:"events,omitempty"`
	// Page is a part of the sender's view that the receiver compares with its own.
	Page *Page `json:"page,omitempty"`
	// Config is the version of the sender's configuration.
	Config uint64 `json:"config,omitempty"`
}

// HeartbeatAck answers a heartbeat.
type HeartbeatAck struct {
	Sender Member   `json:"sender"`
	Events []Member `json:"events,omitempty"`
	// Known marks the heartbeat's events that were no news, by a bit each.
	Known uint64 `json:"known,omitempty"`
	// Missing are statements that the heartbeat's page lacks, bounded in number.
	Missing []Member `json:"missing,omitempty"`
	// Config is the version of the answering router's configuration.
	Config uint64 `json:"config,omitempty"`
}

// Page lists the versions that the sender knows in a range of inner addresses.
type Page struct {
	// After is the address before the range, or empty at the beginning.
	After string `json:"after,omitempty"`
	// Upto is the last address of the range, or empty at the end.
	Upto     string    `json:"upto,omitempty"`
	Versions []Version `json:"versions,omitempty"`
}

// Version orders the statements about one router.
type Version struct {
	InnerAddr string      `json:"inner_addr"`
	Epoch     uint64      `json:"epoch"`
	Counter   uint64      `json:"counter"`
	State     MemberState `json:"state"`
}

// Probe asks the receiver to send a heartbeat to another router.
type Probe struct {
	InnerAddr string `json:"inner_addr"`
}

// ProbeAck tells whether the other router answered.
type ProbeAck struct {
	Reached bool `json:"reached"`
}

// Version returns the part of the statement that orders it.
func (m Member) Version() Version {
	return Version{InnerAddr: m.InnerAddr, Epoch: m.Epoch, Counter: m.Counter, State: m.State}
}

// Newer reports whether a statement of version v replaces one of version w about the same router.
func (v Version) Newer(w Version) bool {
	if v.Epoch != w.Epoch {
		return v.Epoch > w.Epoch
	}
	if v.Counter != w.Counter {
		return v.Counter > w.Counter
	}
	return v.State == Suspect && w.State != Suspect && w.State != Dead
}
