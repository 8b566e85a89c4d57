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

// HoldingKey is the table key of what a router incarnation holds of the budget.
func HoldingKey(id BudgetID, holder string) string {
	return holdingPrefix + id.String() + "/" + holder
}

// BillKey is the table key of the bill of a request.
func BillKey(workspace, requestKey string) string {
	return billPrefix + workspace + "/" + requestKey
}

// BudgetRow is the account of one budget, in tokens.
type BudgetRow struct {
	// Granted is the sum of all that was paid for.
	Granted int64 `json:"granted"`
	// Allotted is the sum drawn by holdings that are still open.
	Allotted int64 `json:"allotted"`
	// Billed is the sum billed by holdings that are closed.
	Billed int64 `json:"billed"`
}

// Available returns the tokens that no holding has drawn and no closed holding has billed.
func (b BudgetRow) Available() int64 { return b.Granted - b.Allotted - b.Billed }

// HoldingRow is what one router incarnation has drawn from a budget, in tokens.
type HoldingRow struct {
	Workspace string `json:"workspace"`
	Budget    string `json:"budget"`
	Holder    string `json:"holder"`
	// Drawn is the sum of its draws less its returns.
	Drawn int64 `json:"drawn"`
	// Billed is the sum of its bills, never more than Drawn.
	Billed int64 `json:"billed"`
	// LastCommit identifies the last commit, so that a lost answer can be recognised.
	LastCommit string `json:"last_commit"`
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
