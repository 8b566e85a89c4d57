package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const accountLog = `,"workspace":"w"`

// TestAccount follows tokens from a life that was killed to its next one.
func TestAccount(t *testing.T) {
	a := at("01.000000", "process_started", "process", `,"life":"a#1"`) +
		at("02.000000", "tokens_drawn", "tokens", accountLog+`,"tokens":1000,"prepaid_tokens":2000`) +
		at("02.000000", "gift_given", "tokens", accountLog+`,"tokens":100`) +
		at("03.000000", "attempt_sent", "requests", accountLog+`,"request_id":"r1","reserved_tokens":300`) +
		at("03.000000", "attempt_sent", "requests", accountLog+`,"request_id":"r2","reserved_tokens":200`) +
		at("04.000000", "request_answered", "requests", accountLog+`,"request_id":"r1","used_tokens":250`) +
		at("06.000000", "process_started", "process", `,"life":"a#2"`) +
		at("07.000000", "former_holding_closed", "tokens", accountLog+`,"tokens":350`)
	b := at("01.000000", "process_started", "process", `,"life":"b#1"`) +
		at("02.500000", "gift_taken", "tokens", accountLog+`,"tokens":100`) +
		at("02.500000", "gift_taken", "tokens", `,"workspace":"other","tokens":7`)
	account, err := Settle("w", []Log{{Name: "a", Lines: strings.NewReader(a)}, {Name: "b", Lines: strings.NewReader(b)}})
	assert.NilError(t, err)
	var out strings.Builder
	_, err = account.WriteTo(&out)
	assert.NilError(t, err)
	lines := strings.Split(out.String(), "\n")
	assert.DeepEqual(t, strings.Fields(lines[3]), strings.Fields("a#1 16:00:01.000 16:00:04.000 1000 0 100 250 0 200 450 0"))
	assert.DeepEqual(t, strings.Fields(lines[4]), strings.Fields("a#2 16:00:06.000 - 0 0 0 0 0 0 0 350"))
	assert.DeepEqual(t, strings.Fields(lines[5]), strings.Fields("b#1 16:00:01.000 - 0 100 0 0 0 0 100 0"))
	assert.Assert(t, strings.Contains(out.String(), "held by lives that ended     650, of which 350 came back"), out.String())
}

func TestAccountOfAnUnknownWorkspace(t *testing.T) {
	_, err := Settle("w", []Log{{Name: "a", Lines: strings.NewReader(at("01.000000", "process_started", "process", ""))}})
	assert.ErrorContains(t, err, `workspace "w" is in none of 1 logs`)
}
