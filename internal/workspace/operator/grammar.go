package operator

import (
	"fmt"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Statement is one parsed command.
type Statement struct {
	Create *CreateStatement `parser:"(  'create' @@"`
	TopUp  *TopUpStatement  `parser:" | 'top' 'up' 'budget' @@"`
	Show   *ShowStatement   `parser:" | 'show' @@ )"`
}

// CreateStatement makes a workspace, budget, target or service.
type CreateStatement struct {
	Kind     string     `parser:"@Ident"`
	Name     string     `parser:"@String"`
	Settings []*Setting `parser:"@@*"`
}

// Setting is a word with a value.
type Setting struct {
	Pos   lexer.Position
	Key   string `parser:"@Ident"`
	Value Value  `parser:"@@"`
}

// Value is a text, a number or a truth value.
type Value struct {
	Text   *string `parser:"(  @String"`
	Number *int64  `parser:" | @Int"`
	Bool   *string `parser:" | @('true' | 'false') )"`
}

// TopUpStatement adds tokens to a budget.
type TopUpStatement struct {
	Name      string `parser:"@String"`
	Workspace string `parser:"'workspace' @String"`
	Tokens    int64  `parser:"'by' @Int"`
}

// ShowStatement lists things of a kind.
type ShowStatement struct {
	Kind string `parser:"@Ident"`
}

var commandLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"[^"]*"`},
	{Name: "Int", Pattern: `[0-9]+`},
	{Name: "Ident", Pattern: `[a-zA-Z_]+`},
	{Name: "Punct", Pattern: `[=<>!,()]`},
	{Name: "space", Pattern: `[ \t\n]+`},
})

var parser = participle.MustBuild[Statement](
	participle.Lexer(commandLexer),
	participle.Unquote("String"),
)

// Parse reads one command; the error tells the place.
func Parse(text string) (*Statement, error) {
	s, err := parser.ParseString("", text)
	if err != nil {
		return nil, fmt.Errorf("parse command: %w", err)
	}
	return s, nil
}
