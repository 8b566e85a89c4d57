package inner

// Methods that register the runs of idempotency keys.
const (
	MethodRunBegin  = "run_begin"
	MethodRunUpdate = "run_place"
	MethodRunEnd    = "run_end"
)

// Run records which router runs the request with an idempotency key, and on which target.
type Run struct {
	Workspace string `json:"workspace"`
	// Key is the idempotency key.
	Key string `json:"key"`
	// RunID identifies the run at its router.
	RunID string `json:"run_id"`
	// BodyHash identifies the content of the request; 0 if it is unknown.
	BodyHash uint64 `json:"body_hash,omitempty"`
	// CallerAddr is the address at which the running router serves callers.
	CallerAddr string `json:"caller_addr"`
	// Target is the address of the target of the most recent attempt; empty before the first.
	Target string `json:"target,omitempty"`
	// Attempt identifies that attempt at the target.
	Attempt string `json:"attempt,omitempty"`
}

// RunRegistration registers a run at the home router of its key, whose directory holds the key's run.
type RunRegistration struct {
	Run Run `json:"run"`
	// Replaces is the ID of an earlier run that the sender has found to be lost, if any.
	Replaces string `json:"replaces,omitempty"`
}

// RunBeginAck returns the registered run of the key: the sender's own or an earlier one.
type RunBeginAck struct {
	Run Run `json:"run"`
}

// RunAck acknowledges a message that has no other answer.
type RunAck struct{}
