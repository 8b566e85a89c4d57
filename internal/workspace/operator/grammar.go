package operator

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/cockroachdb/errors"
)

// Statement is one parsed command; exactly one field is set.
type Statement struct {
	Create   *ChangeStatement   `parser:"(  'create' @@"`
	Set      *ChangeStatement   `parser:" | 'set' @@"`
	Delete   *DeleteStatement   `parser:" | 'delete' @@"`
	TopUp    *TopUpStatement    `parser:" | 'top' 'up' 'budget' @@"`
	Drain    *DrainStatement    `parser:" | 'drain' @@"`
	Undrain  *DrainStatement    `parser:" | 'undrain' @@"`
	Evacuate *EvacuateStatement `parser:" | 'evacuate' @@"`
	Restore  *EvacuateStatement `parser:" | 'restore' @@"`
	Order    *OrderStatement    `parser:" | 'order' 'target' @@"`
	Release  *ReleaseStatement  `parser:" | 'release' @@"`
	Rotate   *RotateStatement   `parser:" | 'rotate' 'key' @@"`
	Cancel   *RequestStatement  `parser:" | 'cancel' 'request' @@"`
	Explain  *RequestStatement  `parser:" | 'explain' 'request' @@"`
	Usage    *UsageStatement    `parser:" | @@"`
	Show     *ShowStatement     `parser:" | 'show' @@"`
	Help     *HelpStatement     `parser:" | @@ )"`
}

// ChangeStatement creates or changes a configuration item, or creates a budget. Version,
// if set, is the version that the configuration must still have; budgets ignore it.
type ChangeStatement struct {
	Pos      lexer.Position
	Kind     string     `parser:"@Ident"`
	Name     string     `parser:"@String"`
	Settings []*Setting `parser:"@@*"`
	Version  *uint64    `parser:"('if' 'version' @Int)?"`
}

// Setting is a key with its value.
type Setting struct {
	Pos   lexer.Position
	Key   string `parser:"(?! 'if') @Ident '='?"`
	Value Value  `parser:"@@ ','?"`
}

// Value is a text, a number or a boolean; exactly one of the pointers is set.
type Value struct {
	Pos    lexer.Position
	Text   *string `parser:"(  @String"`
	Number *int64  `parser:" | @Int"`
	Bool   *string `parser:" | @('true' | 'false') )"`
}

// DeleteStatement removes a configuration item. Version, if set, is the version that the
// configuration must still have.
type DeleteStatement struct {
	Pos     lexer.Position
	Kind    string  `parser:"@Ident"`
	Name    string  `parser:"@String"`
	Version *uint64 `parser:"('if' 'version' @Int)?"`
}

// TopUpStatement adds tokens to a budget.
type TopUpStatement struct {
	Pos       lexer.Position
	Name      string `parser:"@String"`
	Workspace string `parser:"'workspace' @String"`
	Tokens    int64  `parser:"'by' @Int"`
}

// DrainStatement drains or undrains a target or a VM.
type DrainStatement struct {
	Pos  lexer.Position
	Kind string `parser:"@('target' | 'vm')"`
	Name string `parser:"@String"`
}

// EvacuateStatement evacuates a failure domain, or takes that back.
type EvacuateStatement struct {
	Pos    lexer.Position
	Domain string `parser:"@String"`
}

// OrderStatement sends an order to a target, such as to load a model.
type OrderStatement struct {
	Pos    lexer.Position
	Target string `parser:"@String"`
	Action string `parser:"@String"`
}

// ReleaseStatement returns a holding in doubt to its budget, or ends a router's claim on
// a target.
type ReleaseStatement struct {
	Kind      string `parser:"@('holding' | 'target')"`
	Name      string `parser:"@String"`
	Confirmed bool   `parser:"@'confirmed'?"`
}

// RotateStatement gives a workspace or an operator a new key. Keep is the duration for
// which the old key stays valid.
type RotateStatement struct {
	Pos  lexer.Position
	Kind string  `parser:"@('workspace' | 'operator')"`
	Name string  `parser:"@String"`
	Key  string  `parser:"'key' @String"`
	Keep *string `parser:"('keep' @String)?"`
}

// RequestStatement identifies the request to cancel or to explain.
type RequestStatement struct {
	ID string `parser:"@String"`
}

// UsageStatement requests the total usage of a workspace, or of each.
type UsageStatement struct {
	Word      string  `parser:"@'usage'"`
	Workspace *string `parser:"('workspace' @String)?"`
}

// HelpStatement requests the help of all commands, or of one.
type HelpStatement struct {
	Word    string `parser:"@'help'"`
	Command string `parser:"@Ident?"`
}

// ShowStatement lists the rows of a kind that meet all conditions, sorted and limited.
type ShowStatement struct {
	Pos     lexer.Position
	Kind    string       `parser:"@Ident"`
	InDoubt bool         `parser:"@('in' 'doubt')?"`
	Where   []*Condition `parser:"('where' @@ ('and' @@)*)?"`
	Sort    *Sort        `parser:"('sort' 'by'? @@)?"`
	Limit   *int         `parser:"('limit' @Int)?"`
}

// Condition keeps the rows whose column compares to a value as Op requires.
type Condition struct {
	Pos    lexer.Position
	Column string `parser:"@Ident"`
	Op     string `parser:"@Op"`
	Value  Value  `parser:"@@"`
}

// Sort is the column by which rows are sorted.
type Sort struct {
	Pos        lexer.Position
	Column     string `parser:"@Ident"`
	Descending bool   `parser:"(@'desc' | 'asc')?"`
}

// parserLookahead is the number of tokens that the parser reads ahead to choose between
// alternatives.
const parserLookahead = 2

var commandLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"(\\.|[^"\\\n])*"`},
	{Name: "Int", Pattern: `-?[0-9]+`},
	{Name: "Ident", Pattern: `[a-zA-Z_]+`},
	{Name: "Op", Pattern: `!=|<=|>=|[=<>]`},
	{Name: "Punct", Pattern: `,`},
	{Name: "space", Pattern: `[ \t\r\n]+`},
})

var parser = participle.MustBuild[Statement](
	participle.Lexer(commandLexer),
	participle.Unquote("String"),
	participle.UseLookahead(parserLookahead),
)

// Parse parses one command. An error is always a *PositionError.
func Parse(text string) (*Statement, error) {
	s, err := parser.ParseString("", text)
	var parseErr participle.Error
	if errors.As(err, &parseErr) {
		return nil, newPositionError(text, parseErr.Position(), parseErr.Message())
	}
	if err != nil {
		return nil, newPositionError(text, lexer.Position{Line: 1, Column: 1}, err.Error())
	}
	return s, nil
}
