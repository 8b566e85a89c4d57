package runner

import (
	"testing"

	"gotest.tools/v3/assert"

	"rosevalve/internal/protocol/chat"
)

// TestCancelWithoutUsage guards against a run that may have used tokens being billed as one that has used none, since the answer
// of its engine says nothing.
func TestCancelWithoutUsage(t *testing.T) {
	for _, body := range []string{"", "null", "{}", "[]", `{"prompt_tokens":1}`, `{"completion_tokens":1}`, `{"prompt_tokens":null,"completion_tokens":1}`} {
		t.Run(body, func(t *testing.T) {
			tg := newRawTarget(t, func(int, string) string { return rawResponse(200, "", body) })
			_, err := (&Client{}).Cancel(tg.Addr(), "a")
			assert.Assert(t, err != nil)
		})
	}
}

// TestCancelWithUsage checks that the usage of a run is read, of one that has used nothing too.
func TestCancelWithUsage(t *testing.T) {
	for body, want := range map[string]chat.Usage{
		`{"prompt_tokens":3,"completion_tokens":4,"total_tokens":7}`: {PromptTokens: 3, CompletionTokens: 4, TotalTokens: 7},
		`{"prompt_tokens":0,"completion_tokens":0}`:                  {},
	} {
		t.Run(body, func(t *testing.T) {
			tg := newRawTarget(t, func(int, string) string { return rawResponse(200, "", body) })
			got, err := (&Client{}).Cancel(tg.Addr(), "a")
			assert.NilError(t, err)
			assert.Equal(t, got, want)
		})
	}
}
