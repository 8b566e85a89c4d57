package ledger

import (
	"strings"
	"time"
)

// Key prefixes of the ledger's rows in the table.
const (
	budgetPrefix  = "budget/"
	holdingPrefix = "holding/"
	billPrefix    = "bill/"
)

// BudgetID names a budget of a workspace.
type BudgetID struct {
	Workspace string
	Name      string
}

// String returns the workspace and the name, separated by a slash.
func (id BudgetID) String() string { return id.Workspace + "/" + id.Name }

// BudgetKey is the table key of the budget's row.
func BudgetKey(id BudgetID) string { return budgetPrefix + id.String() }

// parseBudgetKey returns the id of the budget whose row has the key.
func parseBudgetKey(key string) BudgetID {
	workspace, name, _ := strings.Cut(strings.TrimPrefix(key, budgetPrefix), "/")
	return BudgetID{Workspace: workspace, Name: name}
}

// HoldingID names one holding; a router incarnation gives each of its holdings another name.
type HoldingID struct {
	Budget BudgetID
	Name   string
}

// String returns the budget and the name, separated by a slash.
func (id HoldingID) String() string { return id.Budget.String() + "/" + id.Name }

// HoldingKey is the table key of the holding's row.
func HoldingKey(id HoldingID) string { return holdingPrefix + id.String() }

// ParseHoldingID reads an id as String writes it; ok is false if a part is missing.
func ParseHoldingID(text string) (id HoldingID, ok bool) {
	workspace, rest, _ := strings.Cut(text, "/")
	budget, name, ok := strings.Cut(rest, "/")
	return HoldingID{Budget: BudgetID{Workspace: workspace, Name: budget}, Name: name}, ok
}

// BillKey is the table key of the bill of a request.
func BillKey(workspace, requestKey string) string {
	return billPrefix + workspace + "/" + requestKey
}

// BudgetRow is the account of one budget, in tokens.
//
// Invariant: Allotted + Billed <= Granted.
type BudgetRow struct {
	// Granted is the sum of all that was paid for.
	Granted int64 `json:"granted"`
	// Allotted is the sum of what the holdings in the table have drawn.
	Allotted int64 `json:"allotted"`
	// Billed is the sum billed by holdings that are no longer in the table.
	Billed int64 `json:"billed"`
	// Plan is what an operator has decided about the budget.
	Plan Plan `json:"plan"`
}

// Committed returns the share of the granted tokens that is billed or drawn, in percent.
func (b BudgetRow) Committed() int64 {
	if b.Granted == 0 {
		return 100
	}
	return 100 * (b.Allotted + b.Billed) / b.Granted
}

// Available returns the tokens that no holding has drawn and no former holding has billed.
func (b BudgetRow) Available() int64 { return b.Granted - b.Allotted - b.Billed }

// Term is a period in which one witness acknowledges the entries of a holding.
type Term struct {
	// Number is never used twice by one holding.
	Number uint64 `json:"number"`
	// Witness is the incarnation of the witness, or empty if there is none.
	Witness string `json:"witness,omitempty"`
	// Addr is the inner address of the witness.
	Addr string `json:"addr,omitempty"`
}

// Entry is a request that was announced to the witness and has no outcome in the table.
type Entry struct {
	RunID      string `json:"run_id"`
	RequestKey string `json:"request_key"`
	// Target is the address of the last attempt, and Attempt its id there.
	Target  string `json:"target"`
	Attempt string `json:"attempt"`
	// Tokens is the worst case.
	Tokens int64 `json:"tokens"`
	// Prompt is what is billed if the target can no longer tell the usage.
	Prompt int64 `json:"prompt"`
	// Fixed marks a call whose price is Prompt and that the target can not cancel.
	Fixed bool `json:"fixed,omitempty"`
}

// HoldingRow is what one router incarnation has drawn from a budget, in tokens.
//
// Invariant: Billed + the tokens of Open <= Drawn.
type HoldingRow struct {
	Workspace string `json:"workspace"`
	Budget    string `json:"budget"`
	Name      string `json:"name"`
	// Holder is the router incarnation that has drawn.
	Holder string `json:"holder"`
	// Drawn is the sum of its draws less its returns.
	Drawn int64 `json:"drawn"`
	// Billed is the sum of its bills.
	Billed int64 `json:"billed"`
	// Term names the witness.
	Term Term `json:"term"`
	// Closed means that the holder starts nothing more from this holding.
	Closed bool `json:"closed,omitempty"`
	// Open are the entries of a closed holding that are not resolved.
	Open []Entry `json:"open,omitempty"`
	// LastCommit identifies the last commit, so that a lost answer can be recognised.
	LastCommit string `json:"last_commit"`
}

// ID returns the id of the holding.
func (h HoldingRow) ID() HoldingID {
	return HoldingID{Budget: BudgetID{Workspace: h.Workspace, Name: h.Budget}, Name: h.Name}
}

// BillRow is the one bill of a request.
type BillRow struct {
	Workspace string `json:"workspace"`
	Budget    string `json:"budget"`
	// RequestKey is the caller's idempotency key, or one made by the router.
	RequestKey string `json:"request_key"`
	// RequestID is the id of the run that was billed.
	RequestID        string    `json:"request_id"`
	Holder           string    `json:"holder"`
	PromptTokens     int64     `json:"prompt_tokens"`
	CompletionTokens int64     `json:"completion_tokens"`
	At               time.Time `json:"at"`
}

// Tokens returns the billed sum.
func (b BillRow) Tokens() int64 { return b.PromptTokens + b.CompletionTokens }
