package inner

// Methods for transfers of prepaid tokens between routers.
const (
	// MethodRequestTransfer requests a transfer of a workspace's tokens from the receiver.
	MethodRequestTransfer = "give"
	// MethodTransfer transfers tokens of a workspace to the receiver.
	MethodTransfer = "take"
	// MethodDrawHint suggests that the receiver draw tokens of a workspace that is in demand.
	MethodDrawHint = "invite"
	// MethodDeferReclaim asks the receiver not to reclaim the tokens of an incarnation that can not
	// write its journal.
	MethodDeferReclaim = "defer_reclaim"
	// MethodAgreeToReclaim asks the receiver to agree that the tokens of an incarnation are reclaimed.
	MethodAgreeToReclaim = "agree_to_reclaim"
	// MethodFinalUsage tells the receiver what an incarnation that stops has used of its tokens.
	MethodFinalUsage = "final_usage"
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

// DeferReclaim asks a router not to agree that what an incarnation of another VM holds is reclaimed by the
// journal writes of that incarnation between the sequence numbers From and UpTo.
type DeferReclaim struct {
	Incarnation string `json:"life"`
	From        int64  `json:"from"`
	UpTo        int64  `json:"up_to"`
}

// DeferReclaimResponse reports whether the responding incarnation agrees, which it can not if it has
// agreed to reclaim the tokens already, and for how long it has run.
type DeferReclaimResponse struct {
	Responder string `json:"by"`
	UptimeMS  int64  `json:"uptime_ms"`
	Agreed    bool   `json:"agreed,omitempty"`
}

// AgreeToReclaim asks a router to agree that what an incarnation of another VM holds is reclaimed by the
// journal write with the sequence number Seq.
type AgreeToReclaim struct {
	Incarnation string `json:"life"`
	Seq         int64  `json:"seq"`
}

// AgreeToReclaimResponse reports whether the responding incarnation agrees, which it does not if it has
// agreed to defer.
type AgreeToReclaimResponse struct {
	Responder string `json:"by"`
	Agreed    bool   `json:"agreed,omitempty"`
}

// FinalUsage tells what an incarnation has used of its tokens, of which it uses nothing any more.
type FinalUsage struct {
	Incarnation string                 `json:"life"`
	Usage       map[string]MirrorBound `json:"usage"`
}

// FinalUsageAck confirms that the receiver knows the usage.
type FinalUsageAck struct{}
