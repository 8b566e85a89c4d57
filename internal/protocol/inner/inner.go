package inner

//go:generate ../../../bin/stringer -type=MemberState -linecomment

// ProtocolVersion is the version that both ends of a connection must use.
const ProtocolVersion = 1

// Methods of the protocol.
const (
	MethodHello     = "hello"
	MethodHeartbeat = "heartbeat"
	MethodProbe     = "probe"
)

// MemberState is the state of a router as its peers see it.
type MemberState int

// The states of a router, in the order in which they override each other.
const (
	Alive   MemberState = iota // alive
	Suspect                    // suspect
	Leaving                    // leaving
	Dead                       // dead
)

// Hello is the first message on a connection.
type Hello struct {
	ProtocolVersion int    `json:"protocol_version"`
	Sender          Member `json:"sender"`
}

// Member describes one router incarnation. Routers gossip it as a membership update.
type Member struct {
	// ID identifies the incarnation; a restarted router gets another ID.
	ID string `json:"id"`
	// InnerAddr is the address for connections of other routers.
	InnerAddr string `json:"inner_addr"`
	// CallerAddr is the address for connections of callers.
	CallerAddr    string      `json:"caller_addr"`
	FailureDomain string      `json:"failure_domain"`
	Region        string      `json:"region"`
	State         MemberState `json:"state"`
	// Epoch orders the incarnations at one address; the highest is the current one.
	Epoch uint64 `json:"epoch"`
	// Counter grows with each update that the router publishes about itself.
	Counter uint64 `json:"counter"`
	// Busy reports that callers should prefer other routers.
	Busy bool `json:"busy,omitempty"`
	// Ready reports whether the router can serve callers of routed requests.
	Ready bool `json:"ready,omitempty"`
	// Capacity is the approximate number of routed requests per second that the router's VM
	// can handle.
	Capacity int `json:"capacity,omitempty"`
}
