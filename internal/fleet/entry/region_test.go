package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"rosevalve/internal/protocol/inner"
)

// TestCallersStayInTheirRegion guards against requests with homes that are sent to a router in another region.
func TestCallersStayInTheirRegion(t *testing.T) {
	members := readyMembers(20)
	for n := range members {
		members[n].Region, members[n].FailureDomain = "east", "east-1"
		if n >= 16 {
			members[n].Region, members[n].FailureDomain = "west", "west-1"
		}
	}
	f := &Selector{Members: func() []inner.Member { return members }}
	for _, test := range []struct {
		domain, region string
		want           int
	}{{"east-1", "east", 16}, {"west-1", "west", 4}, {"west-2", "west", 4}, {"", "west", 4}, {"north-1", "north", 20}, {"", "", 20}} {
		got := f.ServingRegion(test.domain, test.region)
		assert.Equal(t, len(got), test.want, "%v", test)
		for _, m := range got {
			assert.Assert(t, m.Region == test.region || test.want == 20)
		}
	}
}
