package forward

import "time"

// Request is one request of a caller, as the front end has read it.
type Request struct {
	// ID is the caller's name for this try; a try that repeats another has its own.
	ID string
	// Method, URI and Host are as the caller sent them; URI holds the query too.
	Method, URI, Host string
	// Header holds what is passed on to the target as it is.
	Header []Field
	// Body is passed on as it is; it must not be changed.
	Body []byte
	// Key admits the caller to a workspace; empty if it sent none.
	Key string
	// Patience is how long the caller waits from Arrived on; 0 if it did not say.
	Patience time.Duration
	// Arrived is when the request was read.
	Arrived time.Time
	// Prompt describes a request for a model engine; nil for others.
	Prompt *Prompt
	// ResumeAfter is the number of the last event that the caller has, when it goes on
	// with a broken stream; 0 otherwise.
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

// Field is one field of a header.
type Field struct {
	Name, Value string
}

// Prompt is what a caller says of a request for a model engine.
type Prompt struct {
	// Model is the model's name.
	Model string
	// InputTokens is the length of the prompt.
	InputTokens int64
	// MaxOutputTokens bounds the answer.
	MaxOutputTokens int64
	// Parts are the parts of the prompt in order; the last one is the request's or its session's own.
	Parts []Part
	// LikelyOutputTokens is the caller's estimate of the answer's length; 0 if it gave none.
	LikelyOutputTokens int64
}

// MaxTokens is the most that the request can use.
func (p *Prompt) MaxTokens() int64 { return p.InputTokens + p.MaxOutputTokens }

// Part is one part of a prompt, which other requests may share.
type Part struct {
	// ID names the part's text.
	ID uint64
	// Tokens is its length.
	Tokens int64
}

// Attempt is one sending of a request to a target.
type Attempt struct {
	// Instance is the only instance that may run it.
	Instance string
	// Workspace is the name of the workspace that pays, or empty.
	Workspace string
	// Patience is how long the target may work on it.
	Patience time.Duration
	// Priority is the rank in the target's queue, where 0 is first.
	Priority int
	// ResumeAfter is the number of the last event that the caller has; 0 begins the stream.
	ResumeAfter int64
	// FetchFrom is the address of an instance that holds parts of the prompt, or empty.
	FetchFrom string
}
