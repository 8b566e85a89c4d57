package operator

import "strings"

// redacted stands for the text of a key.
const redacted = `"***"`

// Redact returns the command without the text of keys, for the audit trail and logs.
func Redact(command string) string {
	lex, err := commandLexer.LexString("", command)
	if err != nil {
		return redacted
	}
	symbols := commandLexer.Symbols()
	var b strings.Builder
	end := 0 // of the last token
	isKey := false
	for {
		token, err := lex.Next()
		if err != nil {
			return redacted
		}
		b.WriteString(command[end:token.Pos.Offset])
		end = token.Pos.Offset + len(token.Value)
		if token.EOF() {
			return b.String()
		}
		switch token.Type {
		case symbols["String"]:
			if isKey {
				token.Value = redacted
			}
			isKey = false
		case symbols["Ident"]:
			isKey = token.Value == "key"
		}
		b.WriteString(token.Value)
	}
}
