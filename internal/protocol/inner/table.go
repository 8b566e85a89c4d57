package inner

import "rosevalve/internal/platform/table"

//go:generate ../../../bin/stringer -type=TableOutcome -linecomment

// Methods that carry operations on the platform's table for a router that is cut off from it.
const (
	MethodTableGet    = "table_get"
	MethodTableScan   = "table_scan"
	MethodTableCommit = "table_commit"
)

// TableOutcome is how a relayed operation ended.
type TableOutcome int

// The outcomes of a relayed operation.
const (
	OutcomeUnknown  TableOutcome = iota // unknown
	OutcomeApplied                      // applied
	OutcomeConflict                     // conflict
	OutcomeRefused                      // refused
)

// TableGet asks for rows.
type TableGet struct {
	Keys []string `json:"keys"`
	// TimeoutMS is the time that the asking router still waits.
	TimeoutMS int64 `json:"timeout_ms"`
}

// TableScan asks for the rows of a prefix.
type TableScan struct {
	Prefix    string `json:"prefix"`
	After     string `json:"after"`
	Limit     int    `json:"limit"`
	TimeoutMS int64  `json:"timeout_ms"`
}

// TableCommit asks for a commit.
type TableCommit struct {
	Commit    table.Commit `json:"commit"`
	TimeoutMS int64        `json:"timeout_ms"`
}

// TableAck is the outcome of a relayed operation.
type TableAck struct {
	Outcome TableOutcome `json:"outcome"`
	Version uint64       `json:"version,omitempty"`
	// Rows are those found, or those in conflict.
	Rows []table.Row `json:"rows,omitempty"`
	// Unreachable says of a refusal that the relaying router is cut off too.
	Unreachable bool `json:"unreachable,omitempty"`
}
