package inner

import "time"

// Methods that operator commands use to list and cancel the requests of all routers.
const (
	MethodRequests      = "requests"
	MethodCancelRequest = "cancel_request"
)

// RequestsRequest requests the state of the requests that a router knows.
type RequestsRequest struct {
	// ID selects one request by its ID or its idempotency key; empty selects those that run.
	ID string `json:"id,omitempty"`
}

// RequestsResponse lists the selected requests.
type RequestsResponse struct {
	Requests []RequestState `json:"requests"`
}

// RequestState is the state of one request at one router.
type RequestState struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	// Key is the idempotency key of the request.
	Key string `json:"key"`
	// Router identifies the responding router.
	Router string    `json:"router"`
	Began  time.Time `json:"began"`
	// Events is the number of events of the answer so far.
	Events int `json:"events"`
	// Done reports whether the request has ended.
	Done bool `json:"done"`
	// Failure is the error that ended the request; empty if none did.
	Failure string `json:"failure,omitempty"`
	// Following reports that another router runs the request and this one reads its events.
	Following bool `json:"following,omitempty"`
}

// CancelRequest cancels the request with the given ID.
type CancelRequest struct {
	ID string `json:"id"`
}

// CancelResponse reports whether the receiver ran the request.
type CancelResponse struct {
	Found bool `json:"found"`
}
