package inner

// MethodGive asks a router for prepaid tokens of a workspace.
const MethodGive = "give"

// Give asks for up to a number of tokens.
type Give struct {
	Workspace string `json:"workspace"`
	Tokens    int64  `json:"tokens"`
}

// GiveResponse tells how many tokens are the asking router's from now on.
type GiveResponse struct {
	Tokens int64 `json:"tokens"`
}
