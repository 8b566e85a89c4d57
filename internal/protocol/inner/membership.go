package inner

// Heartbeat checks that the receiver is alive and carries recent membership updates.
type Heartbeat struct {
	// Sender is the sender's own state.
	Sender Member `json:"sender"`
	// Events are the most recent updates about other routers, limited in number.
	Events []Member `json:"events,omitempty"`
	// Page is a part of the sender's view, which the receiver compares with its own.
	Page *Page `json:"page,omitempty"`
	// Config is the sender's configuration version.
	Config uint64 `json:"config,omitempty"`
	// Evacuation is the sender's newest row about an evacuation; nil if it has none.
	Evacuation *TablePosition `json:"evacuation,omitempty"`
}

// HeartbeatAck answers a heartbeat.
type HeartbeatAck struct {
	Sender Member   `json:"sender"`
	Events []Member `json:"events,omitempty"`
	// Known has bit i set if event i of the heartbeat did not change the receiver's view.
	Known uint64 `json:"known,omitempty"`
	// Missing are updates that the heartbeat's page lacks, limited in number.
	Missing []Member `json:"missing,omitempty"`
	// Unknown are the addresses of a page with Outdated set that the receiver does not know.
	Unknown []string `json:"unknown,omitempty"`
	// Config is the responding router's configuration version.
	Config uint64 `json:"config,omitempty"`
	// Evacuation is the responding router's newest row about an evacuation; nil if it has none.
	Evacuation *TablePosition `json:"evacuation,omitempty"`
}

// TablePosition is a point in the history of a table of the store.
type TablePosition struct {
	// Era is the store era of the version.
	Era uint64 `json:"era,omitempty"`
	// Version is the version of a row.
	Version uint64 `json:"version"`
}

// Page lists the versions of the members that the sender knows in a range of inner addresses.
type Page struct {
	// After is the address before the range; empty for the start of the list.
	After string `json:"after,omitempty"`
	// Upto is the last address of the range; empty for the end of the list.
	Upto     string    `json:"upto,omitempty"`
	Versions []Version `json:"versions,omitempty"`
	// Outdated reports that the sender was paused, and requests the addresses that the receiver does not know.
	Outdated bool `json:"outdated,omitempty"`
}

// Version orders the updates about one router.
type Version struct {
	InnerAddr string      `json:"inner_addr"`
	Epoch     uint64      `json:"epoch"`
	Counter   uint64      `json:"counter"`
	State     MemberState `json:"state"`
}

// Probe requests that the receiver send a heartbeat to the router at InnerAddr.
type Probe struct {
	InnerAddr string `json:"inner_addr"`
}

// ProbeAck reports whether that router answered.
type ProbeAck struct {
	Reached bool `json:"reached"`
}

// Version returns the part of the update that orders it.
func (m Member) Version() Version {
	return Version{InnerAddr: m.InnerAddr, Epoch: m.Epoch, Counter: m.Counter, State: m.State}
}

// Newer reports whether an update of version v replaces one of version w about the same router.
func (v Version) Newer(w Version) bool {
	if v.Epoch != w.Epoch {
		return v.Epoch > w.Epoch
	}
	if v.Counter != w.Counter {
		return v.Counter > w.Counter
	}
	return v.State == Suspect && w.State != Suspect && w.State != Dead
}
