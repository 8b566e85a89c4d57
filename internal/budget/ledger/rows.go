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

// BudgetID identifies a budget of a workspace.
type BudgetID struct {
	Workspace string
	Name      string
}

// String returns the workspace and the name, separated by a slash.
func (id BudgetID) String() string { return id.Workspace + "/" + id.Name }

// BudgetKey returns the table key of the budget's row.
func BudgetKey(id BudgetID) string { return budgetPrefix + id.String() }

// parseBudgetKey is the inverse of BudgetKey.
func parseBudgetKey(key string) BudgetID {
	workspace, name, _ := strings.Cut(strings.TrimPrefix(key, budgetPrefix), "/")
	return BudgetID{Workspace: workspace, Name: name}
}

// HoldingID identifies a holding. A router incarnation does not reuse a name.
type HoldingID struct {
	Budget BudgetID
	Name   string
}

// String returns the budget and the name, separated by a slash.
func (id HoldingID) String() string { return id.Budget.String() + "/" + id.Name }

// HoldingKey returns the table key of the holding's row.
func HoldingKey(id HoldingID) string { return holdingPrefix + id.String() }

// ParseHoldingID parses the result of HoldingID.String; ok is false if a part is missing.
func ParseHoldingID(text string) (id HoldingID, ok bool) {
	workspace, rest, _ := strings.Cut(text, "/")
	budget, name, ok := strings.Cut(rest, "/")
	return HoldingID{Budget: BudgetID{Workspace: workspace, Name: budget}, Name: name}, ok
}

// BillKey returns the table key of the bill of a request.
func BillKey(workspace, requestKey string) string {
	return billPrefix + workspace + "/" + requestKey
}

// BudgetRow is the row of one budget; amounts are in tokens.
//
// Invariant: Drawn + Billed <= Granted.
type BudgetRow struct {
	// Granted is the number of tokens paid for since the budget was created.
	Granted int64 `json:"granted"`
	// Drawn is the sum of Drawn of the holdings in the table.
	Drawn int64 `json:"allotted"`
	// Billed is the number of tokens billed by holdings that are no longer in the table.
	Billed int64 `json:"billed"`
	// Plan is the settings that an operator chose for the budget.
	Plan BudgetSettings `json:"plan"`
}

// CommittedPercent returns the share of the granted tokens that is drawn or billed, in percent;
// it is 100 if no tokens are granted.
func (b BudgetRow) CommittedPercent() int64 {
	if b.Granted == 0 {
		return 100
	}
	return 100 * (b.Drawn + b.Billed) / b.Granted
}

// Available returns the number of granted tokens that are neither drawn by a holding in
// the table nor billed by a former one.
func (b BudgetRow) Available() int64 { return b.Granted - b.Drawn - b.Billed }

// Term is a period in which one witness acknowledges the entries of a holding.
type Term struct {
	// Number is unique within a holding.
	Number uint64 `json:"number"`
	// Witness is the incarnation of the witness, or empty for a term without one.
	Witness string `json:"witness,omitempty"`
	// Addr is the address of the witness's inner protocol.
	Addr string `json:"addr,omitempty"`
}

// Entry is a request whose attempt was recorded at the witness and has no outcome in the table.
type Entry struct {
	// RunID is the id of the run at the router.
	RunID string `json:"run_id"`
	// RequestKey is the idempotency key of the request.
	RequestKey string `json:"request_key"`
	// Target is the address of the last attempt, and AttemptID its id there.
	Target    string `json:"target"`
	AttemptID string `json:"attempt"`
	// Tokens is the number of tokens reserved for the worst case.
	Tokens int64 `json:"tokens"`
	// FallbackTokens is the number of tokens billed if the target cannot report the usage.
	FallbackTokens int64 `json:"prompt"`
	// FixedPrice marks a call that costs FallbackTokens and that the target cannot cancel.
	FixedPrice bool `json:"fixed,omitempty"`
}

// HoldingRow is the row of a holding; amounts are in tokens.
//
// Invariant: Billed + the sum of Tokens of OpenEntries <= Drawn.
type HoldingRow struct {
	Workspace string `json:"workspace"`
	Budget    string `json:"budget"`
	Name      string `json:"name"`
	// Holder is the id of the router incarnation that has drawn the tokens.
	Holder string `json:"holder"`
	// Drawn is the sum of the draws less the sum of the returns.
	Drawn int64 `json:"drawn"`
	// Billed is the sum of the bills.
	Billed int64 `json:"billed"`
	// Term is the current term, with the witness.
	Term Term `json:"term"`
	// Closed means that another router has closed the holding, so that the holder can
	// start no more requests from it.
	Closed bool `json:"closed,omitempty"`
	// OpenEntries is the unresolved entries of a closed holding.
	OpenEntries []Entry `json:"open,omitempty"`
	// LastCommit is the id of the last commit, by which an operation recognizes its own
	// commit after a lost answer.
	LastCommit string `json:"last_commit"`
}

// ID returns the id of the holding.
func (h HoldingRow) ID() HoldingID {
	return HoldingID{Budget: BudgetID{Workspace: h.Workspace, Name: h.Budget}, Name: h.Name}
}

// BillRow is the row of the bill of a request. A request has at most one bill.
type BillRow struct {
	Workspace string `json:"workspace"`
	Budget    string `json:"budget"`
	// RequestKey is the caller's idempotency key, or one generated by the router.
	RequestKey string `json:"request_key"`
	// RequestID is the id of the billed run.
	RequestID string `json:"request_id"`
	// Holder is the id of the router incarnation whose holding was billed.
	Holder           string    `json:"holder"`
	PromptTokens     int64     `json:"prompt_tokens"`
	CompletionTokens int64     `json:"completion_tokens"`
	BilledAt         time.Time `json:"at"`
}

// Tokens returns the number of tokens billed.
func (b BillRow) Tokens() int64 { return b.PromptTokens + b.CompletionTokens }
