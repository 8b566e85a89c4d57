package inner

// Methods for transfers of prepaid tokens between routers.
const (
	// MethodGive requests a transfer of a workspace's tokens from the receiver.
	MethodGive = "give"
	// MethodTake transfers tokens of a workspace to the receiver.
	MethodTake = "take"
	// MethodInvite suggests that the receiver draw tokens of a workspace that is in demand.
	MethodInvite = "invite"
)

// Give requests up to Tokens tokens of a workspace.
type Give struct {
	Workspace string `json:"workspace"`
	Tokens    int64  `json:"tokens"`
}

// Take transfers tokens to the receiver. They belong to it once it has accepted the message.
type Take struct {
	Workspace string `json:"workspace"`
	Tokens    int64  `json:"tokens"`
}

// TakeResponse confirms that the receiver has accepted the tokens.
type TakeResponse struct{}

// GiveResponse transfers Tokens tokens to the requesting router, possibly none.
type GiveResponse struct {
	Tokens int64 `json:"tokens"`
	// Exhausted reports that neither the responding router nor the store has tokens left.
	Exhausted bool `json:"exhausted,omitempty"`
}

// Invite names a workspace that is in demand at the sender.
type Invite struct {
	Workspace string `json:"workspace"`
}

// InviteResponse acknowledges an Invite.
type InviteResponse struct{}
