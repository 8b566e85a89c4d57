package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const blockFields = `,"parts":"d a","service":"s","crashes":5,"addrs":"x y","decided_by":"a#1"`

func readBlocks(t *testing.T, log string) string {
	t.Helper()
	b, err := ReadBlocks([]Log{{Name: "a", Lines: strings.NewReader(log)}})
	assert.NilError(t, err)
	var out strings.Builder
	_, err = b.WriteTo(&out)
	assert.NilError(t, err)
	return out.String()
}

func TestBlocks(t *testing.T) {
	log := logLine("01.000000", "target_crashed", "targets", `,"instance":"i-1","addr":"x","parts":"a b d"`) +
		logLine("01.500000", "target_crashed", "targets", `,"instance":"i-2","addr":"y","parts":"b"`) +
		logLine("02.000000", "prompt_blocked", "targets", blockFields) +
		logLine("02.100000", "block_learnt", "targets", blockFields) +
		logLine("03.000000", "request_refused", "requests", `,"request_id":"r1","code":"prompt_blocked","err":"the request is not sent: prompts with the parts d a crashed 5 engines"`)
	t.Run("in force", func(t *testing.T) {
		assert.Equal(t, readBlocks(t, log), "prompts with d a, service s: blocked at 16:00:02.000 by a#1 after 5 crashes (x y); in force; 1 requests refused\n"+
			"    16:00:01.000 i-1 crashed at x, seen by a\n")
	})
	t.Run("narrowed and ended", func(t *testing.T) {
		out := readBlocks(t, log+logLine("04.000000", "block_narrowed", "targets", `,"parts":"d","service":"s"`)+
			logLine("05.000000", "block_ended", "targets", `,"parts":"d","service":"s","reason":"answered"`))
		assert.Assert(t, strings.HasPrefix(out, "prompts with d, service s"), out)
		assert.Assert(t, strings.Contains(out, "ended at 16:00:05.000: answered"), out)
	})
	t.Run("none", func(t *testing.T) {
		assert.Equal(t, readBlocks(t, logLine("01.000000", "process_started", "process", "")), "no prompts are blocked; engines crashed 0 times\n")
	})
}
