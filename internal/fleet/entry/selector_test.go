package entry

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/target/balance"
)

// readyMembers returns n routers that are ready and alive.
func readyMembers(n int) []inner.Member {
	var out []inner.Member
	for i := range n {
		out = append(out, inner.Member{InnerAddr: fmt.Sprintf("10.0.%d.%d:9", i/250, i%250), Capacity: 100, Ready: true})
	}
	return out
}

// selectBySorting is the oracle of TestLeaders: it sorts all serving routers by rank.
func selectBySorting(members []inner.Member, key string, n int) []inner.Member {
	serving := append([]inner.Member{}, ServingRouters(members)...)
	rank := func(m inner.Member) uint64 { return balance.Mix(balance.Hash(key), balance.Hash(m.InnerAddr)) }
	slices.SortFunc(serving, func(a, b inner.Member) int { return cmp.Compare(rank(b), rank(a)) })
	return serving[:min(n, len(serving))]
}

func TestLeaders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		members := readyMembers(rapid.IntRange(0, 40).Draw(rt, "routers"))
		f := &Selector{Members: func() []inner.Member { return members }}
		const n = 8
		for step := range rapid.IntRange(1, 10).Draw(rt, "steps") {
			key := fmt.Sprint("w", rapid.IntRange(0, 3).Draw(rt, "key"))
			assert.DeepEqual(rt, f.TopRanked(key, n), selectBySorting(members, key, n))
			assert.Equal(rt, len(f.ServingRouters()), len(ServingRouters(members)))
			if len(members) > 0 {
				// A changed view must be a new slice.
				members = slices.Clone(members)
				members[step%len(members)].State = inner.MemberState(rapid.IntRange(0, 3).Draw(rt, "state"))
			}
		}
	})
}

// TestCallersStayNear checks that callers get only routers of their own failure domain if enough
// of these can serve them.
func TestCallersStayNear(t *testing.T) {
	for _, test := range []struct {
		name       string
		near, busy int
		want       int
	}{
		{name: "enough", near: 10, want: 10},
		{name: "some are busy", near: 10, busy: 2, want: 8},
		{name: "too few", near: 7, want: 47},
		{name: "too few have room", near: 10, busy: 3, want: 47},
	} {
		t.Run(test.name, func(t *testing.T) {
			members := readyMembers(40 + test.near)
			for i := range members {
				members[i].FailureDomain = "far"
				if i < test.near {
					members[i].FailureDomain = "near"
					members[i].Busy = i < test.busy
				}
			}
			f := &Selector{Members: func() []inner.Member { return members }}
			assert.Equal(t, len(f.ServingDomain("near")), test.want)
			assert.Equal(t, len(f.ServingDomain("unknown")), 40+test.near-test.busy)
		})
	}
}

// TestLeadersOfAnUnchangedViewCostNothing guards against ranking the routers of a large fleet
// again at each periodic check of its tokens although the view has not changed.
func TestLeadersOfAnUnchangedViewCostNothing(t *testing.T) {
	members := readyMembers(300)
	f := &Selector{Members: func() []inner.Member { return members }}
	f.TopRanked("w", 8)
	allocs := testing.AllocsPerRun(100, func() {
		f.TopRanked("w", 8)
		f.ServingRouters()
	})
	assert.Equal(t, allocs, 0.0)
}

func BenchmarkLeaders(b *testing.B) {
	members := readyMembers(300)
	for b.Loop() {
		f := &Selector{Members: func() []inner.Member { return members }}
		for n := range 40 {
			f.TopRanked(fmt.Sprint("w", n), 8)
		}
	}
}
