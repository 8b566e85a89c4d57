package operator

import "strings"

// redactedKey replaces the text of an API key, or a whole command that can not be split
// into tokens.
const redactedKey = `"***"`

// Redact returns the command with the text of API keys replaced, for the audit trail and
// logs.
func Redact(command string) string {
	lex, err := commandLexer.LexString("", command)
	if err != nil {
		return redactedKey
	}
	symbols := commandLexer.Symbols()
	var b strings.Builder
	end := 0           // offset after the previous token
	nextIsKey := false // whether the next string is an API key
	for {
		token, err := lex.Next()
		if err != nil {
			return redactedKey
		}
		b.WriteString(command[end:token.Pos.Offset])
		end = token.Pos.Offset + len(token.Value)
		if token.EOF() {
			return b.String()
		}
		switch token.Type {
		case symbols["String"]:
			if nextIsKey {
				token.Value = redactedKey
			}
			nextIsKey = false
		case symbols["Ident"]:
			nextIsKey = token.Value == "key"
		}
		b.WriteString(token.Value)
	}
}
