package inner

import "time"

// Methods by which operators' commands reach the requests of every router.
const (
	MethodRequests      = "requests"
	MethodCancelRequest = "cancel_request"
)

// RequestsRequest asks for the requests that a router knows.
type RequestsRequest struct {
	// ID names one request by its id or its idempotency key; empty asks for those that run.
	ID string `json:"id,omitempty"`
}

// RequestsResponse lists requests.
type RequestsResponse struct {
	Requests []RequestState `json:"requests"`
}

// RequestState is what a router knows of one request.
type RequestState struct {
	ID        string    `json:"id"`
	Workspace string    `json:"workspace"`
	Key       string    `json:"key"`
	Router    string    `json:"router"`
	Began     time.Time `json:"began"`
	Events    int       `json:"events"`
	Done      bool      `json:"done"`
	// Failure is the error that ended the request, if one did.
	Failure string `json:"failure,omitempty"`
	// Following tells that the router reads the request from another one.
	Following bool `json:"following,omitempty"`
}

// CancelRequest ends a request by its id.
type CancelRequest struct {
	ID string `json:"id"`
}

// CancelResponse tells whether the request ran there.
type CancelResponse struct {
	Found bool `json:"found"`
}
