package quarantine

import "rosevalve/internal/protocol/inner"

//go:generate ../../../bin/stringer -type=EventKind -linecomment

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events.
const (
	// Blocked means that this router has decided on a block.
	Blocked EventKind = iota // part_blocked
	// BlockLearned means that this router has learnt of a block from the store or another router.
	BlockLearned // block_learnt
	// BlockNarrowed means that a part of the block's parts has been shown to be harmless.
	BlockNarrowed // block_narrowed
	// BlockEnded means that a block has ended; Reason tells why.
	BlockEnded // block_ended
	// TrialSent means that a request is sent in spite of a block.
	TrialSent // block_trial
	// WriteFailed means that a change could not be written to the store; it is written again.
	WriteFailed // block_unwritten
	// RowUnreadable means that a row of the store is no block and is ignored.
	RowUnreadable // block_unreadable
)

// Event is a change in what this router believes about blocks.
type Event struct {
	// Kind is the kind of the event.
	Kind EventKind
	// Record is the block; it is empty for RowUnreadable.
	Record inner.BlockRecord
	// Reason tells why a block ended.
	Reason string
	// Err is the cause of a failure; nil if there is none.
	Err error
}

// PartNames returns the names of the blocked parts, separated by spaces.
func (ev Event) PartNames() string { return partNames(ev.Record.Parts) }

// The reasons for the end of a block.
const (
	reasonSound    = "answered"   // an engine answered such a prompt
	reasonQuiet    = "not_needed" // no such request arrived for quietPeriod
	reasonRemoved  = "removed"    // the row was removed from the store
	reasonReplaced = "replaced"   // there were too many blocks
)
