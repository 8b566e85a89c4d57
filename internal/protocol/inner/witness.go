package inner

import "time"

//go:generate ../../../bin/stringer -type=EntryState -linecomment

// Methods between a holder and its witness, and between a router and a holder.
const (
	MethodWitnessAppend = "witness_append"
	MethodWitnessSeal   = "witness_seal"
	MethodRecall        = "recall"
)

// EntryState is the state of a request as recorded by a witness.
type EntryState int

// The states of an entry, in the order in which it goes through them.
const (
	EntryOpen    EntryState = iota // open
	EntryBilled                    // billed
	EntryDropped                   // dropped
)

// WitnessEntry records one change of the state of a request.
type WitnessEntry struct {
	RunID string     `json:"run_id"`
	State EntryState `json:"state"`
	// RequestKey is the idempotency key of the request, made by the router if the caller gave none.
	RequestKey string `json:"request_key,omitempty"`
	// Target and Attempt identify where the request may be running.
	Target  string `json:"target,omitempty"`
	Attempt string `json:"attempt,omitempty"`
	// Tokens is the largest number of tokens that the request can use. Prompt of them are billed
	// if the usage cannot be determined.
	Tokens int64 `json:"tokens,omitempty"`
	Prompt int64 `json:"prompt,omitempty"`
	// Fixed marks a service call with a fixed price of Prompt tokens.
	Fixed bool `json:"fixed,omitempty"`
	// PromptTokens and CompletionTokens are the usage of a billed entry.
	PromptTokens     int64     `json:"prompt_tokens,omitempty"`
	CompletionTokens int64     `json:"completion_tokens,omitempty"`
	At               time.Time `json:"at,omitzero"`
}

// WitnessBook is the next part of the entries of one term of a holding. A term is the period
// in which one witness acknowledges the entries of the holding.
type WitnessBook struct {
	Holding string `json:"holding"`
	Term    uint64 `json:"term"`
	// Seq numbers the parts; the witness ignores a part that it has already applied.
	Seq uint64 `json:"seq"`
	// Whole reports that Entries replaces all earlier entries.
	Whole   bool           `json:"whole,omitempty"`
	Entries []WitnessEntry `json:"entries,omitempty"`
	// Final reports that the holder has finished with the holding.
	Final bool `json:"final,omitempty"`
}

// WitnessAppend requests that a witness record entries before they take effect.
type WitnessAppend struct {
	// Witness is the incarnation for which the message is meant.
	Witness string        `json:"witness"`
	Books   []WitnessBook `json:"books"`
}

// WitnessAppendAck acknowledges all parts except those of sealed books.
type WitnessAppendAck struct {
	// Sealed are the indexes of the parts that were refused.
	Sealed []int `json:"sealed,omitempty"`
}

// WitnessSeal requests that a witness refuse all further entries for a term of a holding.
type WitnessSeal struct {
	Witness string `json:"witness"`
	Holding string `json:"holding"`
	Term    uint64 `json:"term"`
}

// WitnessEvidence holds the entries of a sealed book.
type WitnessEvidence struct {
	Entries []WitnessEntry `json:"entries"`
}

// ReturnTokens requests that a router return the tokens of a budget that it does not need.
type ReturnTokens struct {
	Workspace string `json:"workspace"`
	Budget    string `json:"budget"`
}

// ReturnTokensAck returns the number of tokens that went back to the budget.
type ReturnTokensAck struct {
	Returned int64 `json:"returned"`
}
