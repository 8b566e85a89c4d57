package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"rosevalve/internal/protocol/inner"
)

// TestSuspectsServeNobody guards against callers that are sent to routers which have probably ended, also if hardly any
// other is left.
func TestSuspectsServeNobody(t *testing.T) {
	for _, state := range []inner.MemberState{inner.Suspect, inner.Leaving, inner.Dead} {
		for _, alive := range []int{0, 1, 3} {
			members := readyMembers(20)
			for n := alive; n < len(members); n++ {
				members[n].State = state
			}
			assert.Equal(t, len(ServingRouters(members)), alive, "%v", state)
		}
	}
}
