package operator

import (
	"slices"
	"strings"
)

// Complete returns the words that can come next in a command: keywords and kinds at its
// beginning, and the syntax lines of the command after that.
func Complete(text string) []string {
	fields := strings.Fields(text)
	atNewWord := text == "" || strings.HasSuffix(text, " ")
	switch {
	case len(fields) == 0:
		return Keywords()
	case len(fields) == 1 && !atNewWord:
		return withPrefix(Keywords(), fields[0])
	}
	word := ""
	if !atNewWord {
		word = fields[len(fields)-1]
	}
	if fields[0] == "show" && len(fields) <= 2 {
		return withPrefix(strings.Split(showKinds, ", "), word)
	}
	if slices.Contains([]string{"create", "set", "delete"}, fields[0]) && len(fields) <= 2 {
		return withPrefix(strings.Split(itemKinds+", "+budgetKind, ", "), word)
	}
	for _, t := range helpTopics {
		if t.keyword == fields[0] {
			return t.syntax
		}
	}
	return nil
}

// withPrefix returns the words that begin with the prefix.
func withPrefix(words []string, prefix string) []string {
	var out []string
	for _, w := range words {
		if strings.HasPrefix(w, prefix) {
			out = append(out, w)
		}
	}
	return out
}
