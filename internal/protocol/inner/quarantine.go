package inner

import "time"

// MethodQuarantine tells a router about crashes of engines and what they mean for parts of prompts.
const MethodQuarantine = "quarantine"

// QuarantineNews is what a router tells the others about parts of prompts; any field may be empty.
type QuarantineNews struct {
	// Crash is a crash that the sender has observed.
	Crash *CrashReport `json:"crash,omitempty"`
	// Sound are parts whose prompts engines have answered.
	Sound []uint64 `json:"sound,omitempty"`
	// Blocks are blocks that the sender could not write to the store.
	Blocks []BlockRecord `json:"blocks,omitempty"`
}

// QuarantineAck acknowledges QuarantineNews.
type QuarantineAck struct{}

// CrashReport is a crash of an engine as one router has observed it.
type CrashReport struct {
	// Service and Addr identify the engine.
	Service string `json:"service"`
	Addr    string `json:"addr"`
	// Incarnation identifies the process of the engine; empty if that is not known.
	Incarnation string `json:"incarnation,omitempty"`
	// At is when a router learnt of the crash, by the clock of its VM; zero means now.
	At time.Time `json:"at,omitzero"`
	// Prompts are the shared parts of each prompt that the engine had not begun to answer.
	Prompts [][]SuspectPart `json:"prompts"`
}

// SuspectPart is a part of a prompt that may have crashed an engine.
type SuspectPart struct {
	// ID identifies the text of the part.
	ID uint64 `json:"id"`
	// Position is the number of parts before it in the prompt.
	Position int `json:"position"`
	// Answered reports that an engine has answered a prompt with the part before.
	Answered bool `json:"answered,omitempty"`
}

// BlockRecord states that requests whose prompts hold all of some parts are not sent to engines.
type BlockRecord struct {
	// Parts are the IDs of the parts; the first one names the record.
	Parts []uint64 `json:"parts"`
	// Service is the service whose engines have crashed, and Addrs are the addresses of some of them.
	Service string   `json:"service"`
	Addrs   []string `json:"addrs"`
	// Crashes is the number of crashes on which the block was based.
	Crashes int `json:"crashes"`
	// Router is the router incarnation that decided on the block.
	Router string `json:"router"`
	// Since is when that was, by the clock of its VM.
	Since time.Time `json:"since"`
	// Renewals is the number of times that a router has reported that such requests still arrive.
	Renewals int `json:"renewals,omitempty"`
	// Trials is the number of requests that were sent to find out whether the block is still needed.
	Trials int `json:"trials,omitempty"`
}
