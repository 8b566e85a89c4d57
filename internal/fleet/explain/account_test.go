package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const workspaceField = `,"workspace":"w"`

// TestAccount accounts for tokens that one process held when it was killed and the next process
// on the VM recovered in part.
func TestAccount(t *testing.T) {
	a := logLine("01.000000", "process_started", "process", `,"life":"a#1"`) +
		logLine("02.000000", "tokens_drawn", "tokens", workspaceField+`,"tokens":1000,"prepaid_tokens":2000`) +
		logLine("02.000000", "gift_given", "tokens", workspaceField+`,"tokens":100`) +
		logLine("03.000000", "attempt_sent", "requests", workspaceField+`,"request_id":"r1","reserved_tokens":300`) +
		logLine("03.000000", "attempt_sent", "requests", workspaceField+`,"request_id":"r2","reserved_tokens":200`) +
		logLine("04.000000", "request_answered", "requests", workspaceField+`,"request_id":"r1","used_tokens":250`) +
		logLine("06.000000", "process_started", "process", `,"life":"a#2"`) +
		logLine("07.000000", "former_holding_closed", "tokens", workspaceField+`,"tokens":350`)
	b := logLine("01.000000", "process_started", "process", `,"life":"b#1"`) +
		logLine("02.500000", "gift_taken", "tokens", workspaceField+`,"tokens":100`) +
		logLine("02.500000", "gift_taken", "tokens", `,"workspace":"other","tokens":7`)
	account, err := ReadAccount("w", []Log{{Name: "a", Lines: strings.NewReader(a)}, {Name: "b", Lines: strings.NewReader(b)}})
	assert.NilError(t, err)
	var out strings.Builder
	_, err = account.WriteTo(&out)
	assert.NilError(t, err)
	lines := strings.Split(out.String(), "\n")
	assert.DeepEqual(t, strings.Fields(lines[3]), strings.Fields("a#1 16:00:01.000 16:00:04.000 1000 0 100 250 0 200 450 0"))
	assert.DeepEqual(t, strings.Fields(lines[4]), strings.Fields("a#2 16:00:06.000 - 0 0 0 0 0 0 0 350"))
	assert.DeepEqual(t, strings.Fields(lines[5]), strings.Fields("b#1 16:00:01.000 - 0 100 0 0 0 0 100 0"))
	assert.Assert(t, strings.Contains(out.String(), "held by ended processes      650, of which 350 were recovered"), out.String())
}

func TestAccountOfAnUnknownWorkspace(t *testing.T) {
	_, err := ReadAccount("w", []Log{{Name: "a", Lines: strings.NewReader(logLine("01.000000", "process_started", "process", ""))}})
	assert.ErrorContains(t, err, `workspace "w" is in none of 1 logs`)
}
