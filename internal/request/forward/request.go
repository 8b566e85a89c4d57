package forward

import (
	"time"

	"rosevalve/internal/budget/amount"
)

// Request is one request of a caller, as parsed by the front end.
type Request struct {
	// ID is the caller's identifier of this request. A retry by the caller has a new one.
	ID string
	// Method, URI and Host are as the caller sent them; URI includes the query.
	Method, URI, Host string
	// Header holds the fields that are forwarded to the target unchanged.
	Header []Field
	// Body is forwarded unchanged; it must not be modified.
	Body []byte
	// Key is the API key that identifies the workspace; empty if the caller sent none.
	Key string
	// Timeout is the caller's timeout, counted from Arrived; 0 if it gave none.
	Timeout time.Duration
	// Arrived is the time when the request was read.
	Arrived time.Time
	// ConnRequests is the number of requests that the caller's connection has carried, with this one.
	ConnRequests uint64
	// Prompt describes the prompt of a request to a model engine; nil for other requests.
	Prompt *Prompt
	// ResumeAfter is the number of the last event that the caller has received, if it resumes
	// a broken stream; 0 otherwise.
	ResumeAfter int64
}

// Path returns the URI without its query.
func (r *Request) Path() string {
	for i := range len(r.URI) {
		if r.URI[i] == '?' {
			return r.URI[:i]
		}
	}
	return r.URI
}

// Field is one header field.
type Field struct {
	Name, Value string
}

// Prompt describes the prompt and the answer of a request to a model engine, as declared by
// the caller.
type Prompt struct {
	// Model is the name of the model.
	Model string
	// InputTokens is the length of the prompt, in tokens.
	InputTokens int64
	// MaxOutputTokens is the largest length of the answer, in tokens.
	MaxOutputTokens int64
	// Parts are the parts of the prompt in order. Other requests may share all but the last,
	// which belongs to the request or its session alone.
	Parts []Part
	// ExpectedOutputTokens is the caller's estimate of the answer's length, in tokens; 0 if it
	// gave none.
	ExpectedOutputTokens int64
}

// MaxTokens returns the largest number of tokens that the request can use; the largest integer if it
// is larger.
func (p *Prompt) MaxTokens() int64 { return amount.Add(p.InputTokens, p.MaxOutputTokens) }

// Part is one part of a prompt, which other requests may have in common.
type Part struct {
	// ID identifies the text of the part.
	ID uint64
	// Tokens is the length of the part, in tokens.
	Tokens int64
}

// Attempt holds what a target receives with one attempt, besides the request itself.
type Attempt struct {
	// Instance is the id of the only instance that may run the request.
	Instance string
	// Workspace is the name of the workspace that is billed, or empty.
	Workspace string
	// TimeLeft is the time left until the deadline of the request.
	TimeLeft time.Duration
	// Priority is the rank in the target's queue; 0 is served first.
	Priority int
	// ResumeAfter is the number of the last event that the caller has received; 0 requests the
	// stream from its beginning.
	ResumeAfter int64
	// FetchFrom is the address of an instance that has parts of the prompt cached, or empty.
	FetchFrom string
}
