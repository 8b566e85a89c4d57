package inner

import "rosevalve/internal/platform/table"

//go:generate ../../../bin/stringer -type=TableOutcome -linecomment

// Methods that relay operations on the platform's table for a router that is cut off from it.
const (
	MethodTableGet    = "table_get"
	MethodTableScan   = "table_scan"
	MethodTableCommit = "table_commit"
)

// TableOutcome is the outcome of a relayed operation.
type TableOutcome int

// The outcomes of a relayed operation.
const (
	OutcomeUnknown  TableOutcome = iota // unknown
	OutcomeApplied                      // applied
	OutcomeConflict                     // conflict
	OutcomeRefused                      // refused
)

// TableGet requests the rows with the given keys.
type TableGet struct {
	Keys []string `json:"keys"`
	// TimeoutMS is the remaining time until the requesting router stops waiting.
	TimeoutMS int64 `json:"timeout_ms"`
}

// TableScan requests at most Limit rows whose keys start with Prefix and sort after After.
type TableScan struct {
	Prefix    string `json:"prefix"`
	After     string `json:"after"`
	Limit     int    `json:"limit"`
	TimeoutMS int64  `json:"timeout_ms"`
}

// TableCommit requests a commit.
type TableCommit struct {
	Commit    table.Commit `json:"commit"`
	TimeoutMS int64        `json:"timeout_ms"`
}

// TableAck is the result of a relayed operation.
type TableAck struct {
	Outcome TableOutcome `json:"outcome"`
	Version uint64       `json:"version,omitempty"`
	// Rows are the rows found, or those in conflict.
	Rows []table.Row `json:"rows,omitempty"`
	// Unreachable reports that a refusal was caused by the relaying router being cut off too.
	Unreachable bool `json:"unreachable,omitempty"`
}
