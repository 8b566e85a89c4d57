package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"rosevalve/internal/protocol/inner"
)

// membersOf returns one ready router per capacity, named a, b and so on. A negative capacity
// marks a busy router.
func membersOf(capacities ...int) []inner.Member {
	var out []inner.Member
	for i, c := range capacities {
		m := inner.Member{InnerAddr: string(rune('a' + i)), Ready: true, Capacity: c}
		if c < 0 {
			m.Capacity, m.Busy = -c, true
		}
		out = append(out, m)
	}
	return out
}

// assertServing checks the names of the serving routers, joined in order.
func assertServing(t *testing.T, want string, members []inner.Member) {
	t.Helper()
	got := ""
	for _, m := range ServingRouters(members) {
		got += m.InnerAddr
	}
	assert.Equal(t, got, want)
}

func TestCarriersOfOneSize(t *testing.T) {
	assertServing(t, "abc", membersOf(100, 100, 90))
}

func TestSmallRoutersCarryNothing(t *testing.T) {
	assertServing(t, "acef", membersOf(320, 50, 320, 50, 100, 320))
}

func TestSmallRoutersHelp(t *testing.T) {
	t.Run("few large ones", func(t *testing.T) {
		assertServing(t, "abcde", membersOf(320, 50, 320, 50, 320))
	})
	t.Run("a large one is busy", func(t *testing.T) {
		assertServing(t, "bcdef", membersOf(-320, 50, 320, 50, 320, 320))
	})
	t.Run("all are busy", func(t *testing.T) {
		assertServing(t, "ab", membersOf(-320, -50))
	})
}

func TestRoutersThatAreNotReady(t *testing.T) {
	members := membersOf(100, 100, 100)
	members[0].Ready = false
	members[1].State = inner.Leaving
	assertServing(t, "c", members)
}

func TestBusyLargeRouterIsLeft(t *testing.T) {
	assertServing(t, "cdef", membersOf(-320, 50, 320, 320, 320, 320))
}

// TestLargeRoutersBeforeTheNewsOfThem guards against directing all callers to small routers when
// a whole fleet becomes ready at once and only the small ones are known to be ready so far.
func TestLargeRoutersBeforeTheNewsOfThem(t *testing.T) {
	members := membersOf(320, 50, 320, 50, 320, 320)
	for i := range members {
		members[i].Ready = members[i].Capacity == 50
	}
	assertServing(t, "acef", members)
}
