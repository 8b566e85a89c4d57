package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRefusedSinceTargetsAreCold checks that the account of such a request lists the targets that were cold, and
// the cause says so.
func TestRefusedSinceTargetsAreCold(t *testing.T) {
	log := logLine("00.100000", "process_started", "process", "") +
		logLine("00.300000", "target_cold", "targets", `,"instance":"i-1","reason":"told"`) +
		logLine("00.320000", "target_cold", "targets", `,"instance":"i-2","reason":"presumed"`) +
		logLine("00.350000", "target_cold", "targets", `,"instance":"i-3","reason":"told"`) +
		logLine("00.400000", "target_warm", "targets", `,"instance":"i-3","sent":2`) +
		logLine("01.000000", "request_refused", "requests", `,"request_id":"r1","code":"targets_cold","err":"2 are cold"`)
	account := findRequest(t, log, "")
	var cold []string
	for _, l := range account.state {
		if l.event == "target_cold" {
			cold = append(cold, l.str("instance"))
		}
	}
	assert.DeepEqual(t, cold, []string{"i-1", "i-2"})
	assert.Assert(t, strings.Contains(account.Cause(), "cold"), account.Cause())
}
