package placement

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosevalve/internal/target/roster"
	"rosevalve/internal/target/upstream"
)

const writer = "writer"

// errRefused is the error of the test dialer that refuses all connections.
var errRefused = errors.New("connection refused")

// newPlacement returns a placement with n instances, all of which refuse connections.
func newPlacement(n int) *Placement {
	p := &Placement{
		Dial: func(context.Context, string) (net.Conn, error) { return nil, errRefused },
		Rand: func(int) int { return 0 },
	}
	p.Update(instances(n))
	return p
}

// instances returns a roster of n instances of the writer service.
func instances(n int) *roster.Roster {
	var list []roster.Instance
	for i := range n {
		list = append(list, roster.Instance{ID: fmt.Sprintf("i-%d", i), Service: writer, Addr: fmt.Sprintf("10.0.0.%d:80", i), Capacity: 8})
	}
	return roster.New(list)
}

// sharedPartDemand returns a request whose prompt has one shared part and one unshared part.
func sharedPartRequirements(shared uint64) Requirements {
	return Requirements{Parts: []Part{{ID: shared, Tokens: 4000}, {ID: 1000 + shared, Tokens: 500}}, InputTokens: 4500, MaxOutputTokens: 100, ExpectedOutputTokens: 50}
}

func choose(t *testing.T, p *Placement, r Requirements) *Slot {
	t.Helper()
	s, err := p.Choose(t.Context(), writer, r)
	assert.NilError(t, err)
	return s
}

// assertSameInstance checks that n+1 successive requests go to the same instance, and returns
// its ID.
func assertSameInstance(t *testing.T, p *Placement, r Requirements, n int) string {
	t.Helper()
	first := choose(t, p, r)
	first.End(Served)
	for range n {
		s := choose(t, p, r)
		assert.Equal(t, s.ID(), first.ID())
		s.End(Served)
	}
	return first.ID()
}

func TestNoInstance(t *testing.T) {
	p := newPlacement(1)
	_, err := p.Choose(t.Context(), "other", Requirements{})
	assert.ErrorIs(t, err, ErrNoInstance)
	_, err = p.Choose(t.Context(), writer, Requirements{Exclude: []string{"i-0"}})
	assert.ErrorIs(t, err, ErrNoInstance)
}

func TestSharedPartsStayTogether(t *testing.T) {
	t.Run("requests of one part go to one instance", func(t *testing.T) {
		assertSameInstance(t, newPlacement(6), sharedPartRequirements(7), 20)
	})
	t.Run("all routers choose alike", func(t *testing.T) {
		assert.Equal(t, assertSameInstance(t, newPlacement(6), sharedPartRequirements(7), 0), assertSameInstance(t, newPlacement(6), sharedPartRequirements(7), 0))
	})
	t.Run("parts are spread", func(t *testing.T) {
		used := make(map[string]bool)
		p := newPlacement(6)
		for part := range uint64(40) {
			s := choose(t, p, sharedPartRequirements(part))
			used[s.ID()] = true
			s.End(Served)
		}
		assert.Equal(t, len(used), 6)
	})
	t.Run("a loaded instance is left", func(t *testing.T) {
		p := newPlacement(6)
		used := make(map[string]int)
		for range 30 {
			used[choose(t, p, sharedPartRequirements(7)).ID()]++
		}
		assert.Assert(t, len(used) > 1, "all requests went to one instance: %v", used)
	})
}

func TestLoadIsSpread(t *testing.T) {
	p := newPlacement(4)
	used := make(map[string]int)
	for range 40 {
		used[choose(t, p, Requirements{}).ID()]++
	}
	for id, n := range used {
		assert.Equal(t, n, 10, "instance %s", id)
	}
}

func TestFailingInstanceIsLeft(t *testing.T) {
	for _, outcome := range []Outcome{Failed, Unreachable} {
		t.Run(outcome.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlacement(6)
				bad := choose(t, p, sharedPartRequirements(7))
				bad.End(outcome)
				s := choose(t, p, sharedPartRequirements(7))
				assert.Assert(t, s.ID() != bad.ID())
				s.End(Served)
			})
		})
	}
	t.Run("not for what its callers did", func(t *testing.T) {
		p := newPlacement(6)
		s := choose(t, p, sharedPartRequirements(7))
		s.End(Inconclusive)
		assert.Equal(t, choose(t, p, sharedPartRequirements(7)).ID(), s.ID())
	})
	t.Run("for a time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := newPlacement(6)
			bad := choose(t, p, sharedPartRequirements(7))
			bad.End(Unreachable)
			time.Sleep(time.Minute)
			assert.Equal(t, choose(t, p, sharedPartRequirements(7)).ID(), bad.ID())
		})
	})
}

func TestLongPromptsHaveTheirOwnLane(t *testing.T) {
	p := newPlacement(6)
	long := Requirements{InputTokens: 20_000, MaxOutputTokens: 100, ExpectedOutputTokens: 50, EventGapGoal: 300 * time.Millisecond}
	short := Requirements{InputTokens: 300, MaxOutputTokens: 600, ExpectedOutputTokens: 300, EventGapGoal: 300 * time.Millisecond}
	lanes := make(map[string]map[bool]bool)
	for n := range 200 {
		d := short
		if n%4 == 0 {
			d = long
		}
		s := choose(t, p, d)
		if n > 100 {
			if lanes[s.ID()] == nil {
				lanes[s.ID()] = make(map[bool]bool)
			}
			lanes[s.ID()][n%4 == 0] = true
		}
		s.End(Served)
	}
	for id, kinds := range lanes {
		assert.Equal(t, len(kinds), 1, "instance %s got both long and short prompts", id)
	}
}

func TestNewLifeStartsAnew(t *testing.T) {
	p := newPlacement(1)
	choose(t, p, sharedPartRequirements(7)).End(Served)
	restarted := roster.New([]roster.Instance{{ID: "i-0", Service: writer, Addr: "10.0.0.0:80", Capacity: 8, StartedAt: time.Unix(9, 0)}})
	p.Update(restarted)
	assert.Equal(t, choose(t, p, sharedPartRequirements(7)).InstanceState().UncachedTokens, int64(4000))
	p.Update(restarted)
	assert.Equal(t, choose(t, p, sharedPartRequirements(7)).InstanceState().UncachedTokens, int64(0))
}

// TestCarefulRequestsAsk checks that a request with RequireReport set avoids an instance whose
// report shows load from other routers, or that cannot be reached.
func TestCarefulRequestsAsk(t *testing.T) {
	reportRequired := sharedPartRequirements(7)
	reportRequired.RequireReport = true
	t.Run("a loaded engine is left", func(t *testing.T) {
		p := newPlacement(6)
		owner := assertSameInstance(t, p, sharedPartRequirements(7), 0)
		asked := ""
		p.Dial = func(_ context.Context, addr string) (net.Conn, error) {
			asked = addr
			near, _ := net.Pipe()
			return near, nil
		}
		p.FetchReport = func(context.Context, *upstream.Conn, time.Time) (Report, error) {
			if asked == addrOf(p, owner) {
				return Report{Waiting: 20, Running: 8}, nil
			}
			return Report{}, nil
		}
		useDialer(p)
		assert.Assert(t, choose(t, p, reportRequired).ID() != owner)
	})
	t.Run("one that can not be reached is left", func(t *testing.T) {
		p := newPlacement(6)
		owner := assertSameInstance(t, p, sharedPartRequirements(7), 0)
		p.FetchReport = func(context.Context, *upstream.Conn, time.Time) (Report, error) { return Report{}, nil }
		assert.Assert(t, choose(t, p, reportRequired).ID() != owner)
	})
}

// countFar chooses n slots without ending them, with one instance in each of two failure
// domains with the given round-trip times, and returns how many are in the far domain.
func countFar(t *testing.T, r Requirements, n int, near, far time.Duration) int {
	t.Helper()
	out := 0
	synctest.Test(t, func(t *testing.T) {
		p := &Placement{Dial: func(_ context.Context, addr string) (net.Conn, error) {
			time.Sleep(map[string]time.Duration{"10.0.0.1:80": near, "10.0.0.2:80": far}[addr])
			conn, other := net.Pipe()
			t.Cleanup(func() { _, _ = conn.Close(), other.Close() })
			return conn, nil
		}}
		p.Update(roster.New([]roster.Instance{
			{ID: "near", Service: writer, Addr: "10.0.0.1:80", FailureDomain: "fd-1"},
			{ID: "far", Service: writer, Addr: "10.0.0.2:80", FailureDomain: "fd-2"},
		}))
		for _, i := range p.services[writer].instances {
			conn, err := i.pool.Acquire(t.Context(), true)
			assert.NilError(t, err)
			conn.Release()
		}
		for range n {
			if choose(t, p, r).ID() == "far" {
				out++
			}
		}
	})
	return out
}

// TestDistanceCounts checks that another region is used only when the local one is loaded
// enough to justify the longer round trip, and that zones of one region share the load.
func TestDistanceCounts(t *testing.T) {
	const zone, region = 3 * time.Millisecond, 50 * time.Millisecond
	goal, once := Requirements{LatencyGoal: 100 * time.Millisecond}, Requirements{LatencyGoal: 100 * time.Millisecond, AtMostOnce: true}
	for _, test := range []struct {
		name        string
		r           Requirements
		n           int
		far         time.Duration
		least, most int
	}{
		{"another region, little to do", Requirements{}, 4, region, 0, 0},
		{"another region, much to do", Requirements{}, 40, region, 10, 19},
		{"another region, for a goal", goal, 20, region, 0, 0},
		{"another region, there and back twice", once, 60, region, 0, 0},
		{"another zone", goal, 40, zone, 18, 21},
	} {
		t.Run(test.name, func(t *testing.T) {
			used := countFar(t, test.r, test.n, time.Millisecond, test.far)
			assert.Assert(t, used >= test.least && used <= test.most, "%d of %d requests went to the far instance", used, test.n)
		})
	}
}

func addrOf(p *Placement, id string) string {
	for _, i := range p.services[writer].instances {
		if i.ID == id {
			return i.Addr
		}
	}
	return ""
}

// useDialer makes the existing instances use the current dialer of the placement, without
// measuring its round trips.
func useDialer(p *Placement) {
	for _, i := range p.services[writer].instances {
		i.pool.Dial = p.Dial
	}
}

// TestCountsEndAtZero checks that the load counts of all instances return to zero after
// attempts have begun, answered and ended in any order.
func TestCountsEndAtZero(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newPlacement(rapid.IntRange(1, 5).Draw(rt, "instances"))
		var slots []*Slot
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 2).Draw(rt, "step") {
			case 0:
				s, err := p.Choose(t.Context(), writer, sharedPartRequirements(rapid.Uint64Range(0, 5).Draw(rt, "part")))
				assert.NilError(rt, err)
				slots = append(slots, s)
			case 1:
				if len(slots) > 0 {
					slots[rapid.IntRange(0, len(slots)-1).Draw(rt, "seat")].AnswerStarted()
				}
			case 2:
				if len(slots) > 0 {
					slots[0].End(Outcome(rapid.IntRange(0, int(Inconclusive)).Draw(rt, "outcome")))
					slots[0].End(Failed)
					slots = slots[1:]
				}
			}
		}
		for _, s := range slots {
			s.End(Served)
		}
		for _, i := range p.services[writer].instances {
			assert.Equal(rt, i.running, 0)
			assert.Equal(rt, i.pendingPrefill, int64(0))
			assert.Equal(rt, i.reservedTokens, int64(0))
		}
	})
}
