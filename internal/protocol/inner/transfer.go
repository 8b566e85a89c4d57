package inner

// Methods for transfers of prepaid tokens between routers.
const (
	// MethodRequestTransfer requests a transfer of a workspace's tokens from the receiver.
	MethodRequestTransfer = "give"
	// MethodTransfer transfers tokens of a workspace to the receiver.
	MethodTransfer = "take"
	// MethodDrawHint suggests that the receiver draw tokens of a workspace that is in demand.
	MethodDrawHint = "invite"
	// MethodReplicateBounds sends the receiver a replica of the bounds of an incarnation that can not write
	// its journal.
	MethodReplicateBounds = "replicate_bounds"
	// MethodFence has the receiver keep no further replica of the bounds of an incarnation whose tokens are
	// to be reclaimed.
	MethodFence = "fence"
	// MethodFinalUsage tells the receiver what an incarnation that stops has used of its tokens.
	MethodFinalUsage = "final_usage"
	// MethodRecentIncarnations asks the receiver for the incarnations that it knows to run or to have ended
	// lately.
	MethodRecentIncarnations = "recent_incarnations"
)

// TransferRequest requests up to Tokens tokens of a workspace.
type TransferRequest struct {
	Workspace string `json:"workspace"`
	Tokens    int64  `json:"tokens"`
}

// Transfer transfers tokens to the receiver. They belong to it once it has accepted the message.
type Transfer struct {
	Workspace string `json:"workspace"`
	Tokens    int64  `json:"tokens"`
}

// TransferAck confirms that the receiver has accepted the tokens.
type TransferAck struct{}

// TransferResponse transfers Tokens tokens to the requesting router, possibly none.
type TransferResponse struct {
	Tokens int64 `json:"tokens"`
	// Exhausted reports that neither the responding router nor the store has tokens left.
	Exhausted bool `json:"exhausted,omitempty"`
	// Held reports that the responding router may have tokens left that it can not transfer now.
	Held bool `json:"held,omitempty"`
}

// DrawHint names a workspace that is in demand at the sender.
type DrawHint struct {
	Workspace string `json:"workspace"`
}

// DrawHintAck acknowledges a DrawHint.
type DrawHintAck struct{}

// BoundsReplica tells a router what an incarnation of another VM may use of its tokens. The router counts that as
// used if the tokens are reclaimed by a journal write of the incarnation between the sequence numbers From and UpTo.
type BoundsReplica struct {
	Incarnation string           `json:"life"`
	From        int64            `json:"from"`
	UpTo        int64            `json:"up_to"`
	Bounds      map[string]int64 `json:"bounds"`
}

// BoundsReplicaAck reports whether the responding incarnation keeps the replica, which it does not if it is fenced,
// and for how long it has run.
type BoundsReplicaAck struct {
	Responder string `json:"by"`
	UptimeMS  int64  `json:"uptime_ms"`
	Kept      bool   `json:"kept,omitempty"`
}

// Fence asks a router to keep no further replica of the bounds of an incarnation of another VM for its journal writes
// up to the sequence number Seq.
type Fence struct {
	Incarnation string `json:"life"`
	Seq         int64  `json:"seq"`
}

// FenceAck tells what the incarnation may have used by the replica that the responding router has; empty if it has none.
type FenceAck struct {
	Responder string           `json:"by"`
	Bounds    map[string]int64 `json:"bounds,omitempty"`
}

// FinalUsage tells what an incarnation has used of its tokens, of which it uses nothing any more.
type FinalUsage struct {
	Incarnation string                 `json:"life"`
	Usage       map[string]MirrorBound `json:"usage"`
	// Epoch counts the incarnations of the VM.
	Epoch int64 `json:"epoch,omitempty"`
	// Complete reports whether the incarnation knew everything that its VM had drawn.
	Complete bool `json:"complete,omitempty"`
}

// FinalUsageAck confirms that the receiver knows the usage.
type FinalUsageAck struct{}

// RecentIncarnationsRequest asks a router for the incarnations that it knows.
type RecentIncarnationsRequest struct{}

// RecentIncarnations are the incarnations that a router knows to run or to have ended lately.
type RecentIncarnations struct {
	// CoveredMS is the time, in milliseconds, since when the router knows of all that have run.
	CoveredMS int64 `json:"covered_ms"`
	// LastSeenMS are the times, in milliseconds, since when incarnations are not known to run, by ID.
	LastSeenMS map[string]int64 `json:"last_seen_ms"`
	// FinalUsage is what some of those that have ended have used in all.
	FinalUsage []FinalUsage `json:"final_usage,omitempty"`
}
