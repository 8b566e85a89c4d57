package callers

//go:generate ../../../bin/stringer -type=Reason -linecomment

// Reason is why a caller's connection, or its request, was ended.
type Reason int

// The reasons.
const (
	// TooManyConnections means that there were too many connections, and OutOfMemory that the memory for requests was used
	// up.
	TooManyConnections Reason = iota // connections
	OutOfMemory                      // memory
	// NotRead means that the caller did not read its answer.
	NotRead // not_read
)
