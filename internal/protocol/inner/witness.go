package inner

import "time"

//go:generate ../../../bin/stringer -type=EntryState -linecomment

// Methods between a holder and its witness, and between a router and a holder.
const (
	MethodWitnessAppend = "witness_append"
	MethodWitnessSeal   = "witness_seal"
	MethodRecall        = "recall"
)

// EntryState is what a witness knows of a request.
type EntryState int

// The states of an entry, in the order in which it goes through them.
const (
	EntryOpen    EntryState = iota // open
	EntryBilled                    // billed
	EntryDropped                   // dropped
)

// WitnessEntry is one change of a request's state.
type WitnessEntry struct {
	RunID      string     `json:"run_id"`
	State      EntryState `json:"state"`
	RequestKey string     `json:"request_key,omitempty"`
	// Target and Attempt say where the request may run.
	Target  string `json:"target,omitempty"`
	Attempt string `json:"attempt,omitempty"`
	// Tokens is the worst case, of which Prompt is billed if no usage can be learnt.
	Tokens int64 `json:"tokens,omitempty"`
	Prompt int64 `json:"prompt,omitempty"`
	// Fixed marks a call whose price is Prompt.
	Fixed bool `json:"fixed,omitempty"`
	// PromptTokens and CompletionTokens are the usage of a billed entry.
	PromptTokens     int64     `json:"prompt_tokens,omitempty"`
	CompletionTokens int64     `json:"completion_tokens,omitempty"`
	At               time.Time `json:"at,omitzero"`
}

// WitnessBook is the next part of the entries of one term of a holding.
type WitnessBook struct {
	Holding string `json:"holding"`
	Term    uint64 `json:"term"`
	// Seq counts the parts; a part that was applied before is not applied again.
	Seq uint64 `json:"seq"`
	// Whole means that the entries replace all earlier ones.
	Whole   bool           `json:"whole,omitempty"`
	Entries []WitnessEntry `json:"entries,omitempty"`
	// Final means that the holder has finished the holding.
	Final bool `json:"final,omitempty"`
}

// WitnessAppend asks a witness to remember entries before they take effect.
type WitnessAppend struct {
	// Witness is the incarnation that is asked.
	Witness string        `json:"witness"`
	Books   []WitnessBook `json:"books"`
}

// WitnessAppendAck acknowledges all parts but those of sealed books.
type WitnessAppendAck struct {
	// Sealed are the indexes of the parts that were refused.
	Sealed []int `json:"sealed,omitempty"`
}

// WitnessSeal asks a witness to acknowledge nothing more for a term of a holding.
type WitnessSeal struct {
	Witness string `json:"witness"`
	Holding string `json:"holding"`
	Term    uint64 `json:"term"`
}

// WitnessEvidence is what a sealed book holds.
type WitnessEvidence struct {
	Entries []WitnessEntry `json:"entries"`
}

// Recall asks a router to return what it does not need of a budget.
type Recall struct {
	Workspace string `json:"workspace"`
	Budget    string `json:"budget"`
}

// RecallAck tells how many tokens went back to the budget.
type RecallAck struct {
	Returned int64 `json:"returned"`
}
