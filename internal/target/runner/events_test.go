package runner

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEventKinds(t *testing.T) {
	tests := map[string]struct {
		data         string
		text, finish bool
	}{
		"token":          {`{"id":"a","choices":[{"delta":{"content":"x"},"finish_reason":null}]}`, true, false},
		"spaces":         {`{"id": "a", "choices": [{"delta": {"content": "x"}}]}`, true, false},
		"role":           {`{"choices":[{"delta":{"role":"assistant","content":""}}]}`, false, false},
		"finish":         {`{"choices":[{"delta":{},"finish_reason":"stop"}]}`, false, true},
		"text in finish": {`{"choices":[{"delta":{"content":"x"},"finish_reason":"stop"}]}`, true, true},
		"tool call":      {`{"choices":[{"delta":{"tool_calls":[{"index":0}]}}]}`, true, false},
		"no tool call":   {`{"choices":[{"delta":{"tool_calls":[]}}]}`, false, false},
		"quoted field":   {`{"choices":[{"delta":{"content":"\"finish_reason\":\"stop\""}}]}`, true, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ev, err := parseEvent([]byte(test.data))
			assert.NilError(t, err)
			assert.Equal(t, ev.HasContent(), test.text)
			assert.Equal(t, ev.HasFinishReason(), test.finish)
		})
	}
}

func FuzzReadEvents(f *testing.F) {
	for _, seed := range []string{
		"data: {\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\ndata: [DONE]\n\n",
		"data: {\"usage\":{\"prompt_tokens\":1}}\n\n",
		"data: {\"usage\":{\"prompt_tokens\":-1e99}}\r\n\r\ndata:[DONE]",
		"data: {\"error\":{}}\n\n", ": comment\n\ndata: {\n\n", "data: {\"id\":\"\\\"\"}\n\n", "event: x\ndata: null\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		done := false
		err := ReadEvents(bytes.NewReader(data), func(ev Event) error {
			if done {
				t.Fatal("event after the last")
			}
			done = ev.Done
			if !ev.Done && !json.Valid(ev.Data) {
				t.Fatalf("event %q is not JSON", ev.Data)
			}
			if !ev.Done && !strings.Contains(string(data), string(ev.Data)) {
				t.Fatalf("event %q was not sent", ev.Data)
			}
			_, _, _ = ev.HasContent(), ev.HasFinishReason(), ev.AnswerID()
			return nil
		})
		if (err == nil) != done {
			t.Fatalf("error %v, but last event seen: %t", err, done)
		}
	})
}
