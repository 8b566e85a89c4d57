package inner

//go:generate ../../../bin/stringer -type=MemberState -linecomment

// ProtocolVersion is the version that both ends of a connection must speak.
const ProtocolVersion = 1

// Methods of the protocol.
const (
	MethodHello     = "hello"
	MethodHeartbeat = "heartbeat"
	MethodProbe     = "probe"
)

// MemberState is what is believed of a router.
type MemberState int

// The states of a router, in the order in which they override each other.
const (
	Alive   MemberState = iota // alive
	Suspect                    // suspect
	Leaving                    // leaving
	Dead                       // dead
)

// Hello opens a connection.
type Hello struct {
	ProtocolVersion int    `json:"protocol_version"`
	Sender          Member `json:"sender"`
}

// Member is one router incarnation.
type Member struct {
	// ID names the incarnation; a restarted router gets another.
	ID string `json:"id"`
	// InnerAddr is where its peers connect.
	InnerAddr string `json:"inner_addr"`
	// CallerAddr is where callers connect.
	CallerAddr    string      `json:"caller_addr"`
	FailureDomain string      `json:"failure_domain"`
	Region        string      `json:"region"`
	State         MemberState `json:"state"`
	// Epoch orders the incarnations at one address; the highest is the current one.
	Epoch uint64 `json:"epoch"`
	// Counter grows with each statement that the router makes about itself.
	Counter uint64 `json:"counter"`
	// Busy says that the router prefers that callers go elsewhere.
	Busy bool `json:"busy,omitempty"`
	// Ready says that the router can serve callers of routed requests.
	Ready bool `json:"ready,omitempty"`
	// Capacity is about how many routed requests the router's VM can carry in a second.
	Capacity int `json:"capacity,omitempty"`
}
