package operator

import (
	"slices"
	"strings"
)

// Complete returns the words that may come next in a command, or the forms of a command that is begun.
func Complete(text string) []string {
	fields := strings.Fields(text)
	isNext := text == "" || strings.HasSuffix(text, " ")
	switch {
	case len(fields) == 0:
		return Words()
	case len(fields) == 1 && !isNext:
		return withPrefix(Words(), fields[0])
	}
	word := ""
	if !isNext {
		word = fields[len(fields)-1]
	}
	if fields[0] == "show" && len(fields) <= 2 {
		return withPrefix(strings.Split(showKinds, ", "), word)
	}
	if slices.Contains([]string{"create", "set", "delete"}, fields[0]) && len(fields) <= 2 {
		return withPrefix(strings.Split(itemKinds+", "+budgetKind, ", "), word)
	}
	for _, t := range topics {
		if t.word == fields[0] {
			return t.forms
		}
	}
	return nil
}

func withPrefix(words []string, prefix string) []string {
	var out []string
	for _, w := range words {
		if strings.HasPrefix(w, prefix) {
			out = append(out, w)
		}
	}
	return out
}
