package inner

// Methods about the runs of idempotency keys.
const (
	MethodRunBegin = "run_begin"
	MethodRunPlace = "run_place"
	MethodRunEnd   = "run_end"
)

// Run tells which router runs the request of a key, and where.
type Run struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	// RunID names the run at its router.
	RunID string `json:"run_id"`
	// BodyHash identifies the request; 0 stands for an unknown one.
	BodyHash uint64 `json:"body_hash,omitempty"`
	// CallerAddr is where the router that runs it serves callers.
	CallerAddr string `json:"caller_addr"`
	// Target is the engine of the newest attempt, if there is one.
	Target string `json:"target,omitempty"`
	// Attempt names that attempt at the engine.
	Attempt string `json:"attempt,omitempty"`
}

// RunBegin announces a run to the home of its key.
type RunBegin struct {
	Run Run `json:"run"`
	// Replaces is the id of the run that the sender has found lost, if any.
	Replaces string `json:"replaces,omitempty"`
}

// RunBeginAck tells which run the key has: the sender's own or an earlier one.
type RunBeginAck struct {
	Run Run `json:"run"`
}

// RunAck answers a message that needs no answer.
type RunAck struct{}
