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

	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/roster"
	"rosevalve/internal/target/runner"
	"rosevalve/internal/target/upstream"
	"rosevalve/internal/target/warmup"
)

// coldRate is what a cold instance of the writer service bears in the tests, in requests a second.
const coldRate = 2

// newColdPlacement returns a placement with a settled limiter of a single router, and n instances that can
// be reached. The limiter is nil if limited is not set.
func newColdPlacement(t *testing.T, n int, limited bool) *Placement {
	t.Helper()
	turn := 0
	p := &Placement{
		Dial: func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			t.Cleanup(func() { _, _ = near.Close(), far.Close() })
			return near, nil
		},
		Rand: func(n int) int {
			turn++
			return turn % n
		},
	}
	if limited {
		p.Warmup = &warmup.Limiter{
			Self:    "10.1.0.1:7",
			Routers: func() []string { return []string{"10.1.0.1:7"} },
			Rate:    func(string) warmup.Rate { return warmup.Rate{PerSecond: coldRate, ColdTime: 3 * time.Second} },
			Bounds:  func() warmup.Bounds { return warmup.Bounds{Overshoot: 1, Slack: 0} },
		}
		for range 15 {
			p.Warmup.Observe(time.Now())
			time.Sleep(time.Second)
		}
		p.Warmup.Observe(time.Now())
	}
	p.Update(instances(n))
	return p
}

// tellCold announces that the first instances are cold for a time.
func tellCold(p *Placement, n, cold int, d time.Duration) {
	var list []roster.Instance
	for number, i := range instances(n).Service(writer) {
		i.TellsCold = true
		if number < cold {
			i.ColdFor, i.ColdUntil = d, time.Now().Add(d)
		}
		list = append(list, i)
	}
	p.Update(roster.New(list))
}

// countSent sends requests one after the other, and returns how many were sent to the instance and how many
// in all. Requests that may be sent to none are left out.
func countSent(t *testing.T, p *Placement, id string, requests int) (there, all int) {
	t.Helper()
	for range requests {
		s, err := p.Choose(t.Context(), writer, Requirements{})
		if err != nil {
			continue
		}
		if _, err := s.Conn(t.Context(), true); err == nil {
			all++
			if s.ID() == id {
				there++
			}
		}
		s.End(Inconclusive)
	}
	return there, all
}

// TestColdInstanceGetsItsShareOnly checks that requests beyond the share go to other instances, and what
// happens without the limit.
func TestColdInstanceGetsItsShareOnly(t *testing.T) {
	for _, limited := range []bool{true, false} {
		t.Run(fmt.Sprint("limited ", limited), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newColdPlacement(t, 3, limited)
				tellCold(p, 3, 1, 3*time.Second)
				there, all := countSent(t, p, "i-0", 60)
				assert.Equal(t, all, 60)
				assert.Equal(t, there <= coldRate, limited, "%d requests", there)
				time.Sleep(4 * time.Second)
				there, _ = countSent(t, p, "i-0", 60)
				assert.Assert(t, there > coldRate, "%d requests once it is warm", there)
			})
		})
	}
}

// TestShareIsTakenWhenSending checks that of requests which were chosen the same cold instance at once, one
// is sent there, and that the others know that they were not sent.
func TestShareIsTakenWhenSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newColdPlacement(t, 1, true)
		tellCold(p, 1, 1, 3*time.Second)
		var slots []*Slot
		for range 5 {
			slots = append(slots, choose(t, p, Requirements{}))
		}
		sent := 0
		for _, s := range slots {
			_, err := s.Conn(t.Context(), true)
			if err == nil {
				sent++
				continue
			}
			assert.ErrorIs(t, err, ErrCold)
			assert.Equal(t, runner.RunStateOf(err), answer.NotRun)
		}
		assert.Equal(t, sent, 1)
	})
}

func TestAllColdTellsWhenToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newColdPlacement(t, 2, true)
		tellCold(p, 2, 2, 3*time.Second)
		countSent(t, p, "i-0", 10)
		_, err := p.Choose(t.Context(), writer, Requirements{})
		var cold *ColdError
		assert.Assert(t, errors.As(err, &cold))
		assert.ErrorIs(t, err, ErrNoInstance)
		assert.Equal(t, cold.Instances, 2)
		time.Sleep(time.Until(cold.Until))
		_, sent := countSent(t, p, "i-0", 10)
		assert.Assert(t, sent > 0, "nothing may be sent at the time that was told")
	})
}

// TestRestartUnnoticed checks that an instance counts as cold after it could not be reached, its connection broke,
// or it is new and does not tell.
func TestRestartUnnoticed(t *testing.T) {
	for name, act := range map[string]func(t *testing.T, p *Placement){
		"unreachable":     func(t *testing.T, p *Placement) { chooseOnly(t, p).End(Unreachable) },
		"connection lost": func(t *testing.T, p *Placement) { chooseOnly(t, p).ConnectionLost() },
		"new, without a figure": func(_ *testing.T, p *Placement) {
			p.Update(roster.New([]roster.Instance{{ID: "i-0", Service: writer, Addr: "10.0.0.0:80", Capacity: 8, StartedAt: time.Unix(9, 0)}}))
		},
		"after an evacuation": func(_ *testing.T, p *Placement) { p.PresumeCold("") },
		"told in an answer": func(_ *testing.T, p *Placement) {
			p.services[writer].instances[0].handleNotice(upstream.Notice{TellsCold: true, ColdFor: 2 * time.Second})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newColdPlacement(t, 1, true)
				_, sent := countSent(t, p, "i-0", 30)
				assert.Equal(t, sent, 30, "before")
				act(t, p)
				_, sent = countSent(t, p, "i-0", 30)
				assert.Equal(t, sent, 1, "after")
				time.Sleep(9 * time.Second)
				_, sent = countSent(t, p, "i-0", 30)
				assert.Equal(t, sent, 30, "once it must be warm")
			})
		})
	}
}

// chooseOnly chooses the only instance.
func chooseOnly(t *testing.T, p *Placement) *Slot {
	t.Helper()
	return choose(t, p, Requirements{})
}

// TestOwnerUsesItsShare checks that a router which may send to a cold instance does so, although another one has the
// prompt in its cache, and that the request after it goes to the cache.
func TestOwnerUsesItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newColdPlacement(t, 2, true)
		r := sharedPartRequirements(7)
		warm := assertSameInstance(t, p, r, 3)
		other := map[string]string{"i-0": "i-1", "i-1": "i-0"}[warm]
		p.Warmup.Announced(writer, other, time.Now().Add(3*time.Second), time.Now())
		s := choose(t, p, r)
		assert.Equal(t, s.ID(), other)
		_, err := s.Conn(t.Context(), true)
		assert.NilError(t, err)
		s.End(Served)
		assert.Equal(t, choose(t, p, r).ID(), warm, "while the share is used up")
	})
}
