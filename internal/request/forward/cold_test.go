package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/placement"
	"rosevalve/internal/target/roster"
	"rosevalve/internal/target/warmup"
)

// coldStage returns a stage with two sound targets, and a forwarder whose placement has a limiter.
func coldStage(peers ...string) (*stage, *Forwarder) {
	s := &stage{scenario: scenario{Route: resumableRoute(2), Conducts: make([]conduct, 2)}, order: make(map[string]int)}
	f := s.forwarder()
	l := &warmup.Limiter{
		Self: "r", Routers: func() []string { return append(peers, "r") },
		Rate:   func(string) warmup.Rate { return warmup.Rate{PerSecond: 1, ColdTime: 3 * time.Second} },
		Bounds: func() warmup.Bounds { return warmup.Bounds{Overshoot: 1, Slack: 0} },
	}
	for range 15 {
		l.Observe(time.Now())
		time.Sleep(time.Second)
	}
	l.Observe(time.Now())
	f.Placement = &placement.Placement{Dial: s.dial, ParseHeader: parseTestHeader, Warmup: l}
	f.Placement.Update(roster.New([]roster.Instance{
		{ID: "i0", Service: "s", Addr: "addr0", Capacity: 8, FailureDomain: "cold"},
		{ID: "i1", Service: "s", Addr: "addr1", Capacity: 8, FailureDomain: "other"},
	}))
	return s, f
}

// finish ends what is left of a stage.
func finish(f *Forwarder) {
	f.Placement.Prune(time.Now().Add(time.Hour))
	time.Sleep(time.Minute)
}

// TestColdTargetsRefuseWithATime checks the answer to a request while all targets are cold and their share is
// used up: it has not run, and says when it may come back, which holds.
func TestColdTargetsRefuseWithATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := coldStage()
		defer finish(f)
		f.Placement.PresumeCold("cold")
		f.Placement.PresumeCold("other")
		for range 2 {
			s.send(t.Context(), f)
			assert.NilError(t, s.result.err)
		}
		s.send(t.Context(), f)
		var refusal *answer.Error
		assert.Assert(t, errors.As(s.result.err, &refusal))
		assert.Equal(t, refusal.Status, fasthttp.StatusServiceUnavailable)
		assert.Equal(t, refusal.Code, "targets_cold")
		assert.Equal(t, refusal.Run, answer.NotRun)
		assert.Assert(t, refusal.RetryAfter > 0 && refusal.RetryAfter <= 1100*time.Millisecond, "after %v", refusal.RetryAfter)
		time.Sleep(refusal.RetryAfter)
		s.result.err = nil
		s.send(t.Context(), f)
		assert.NilError(t, s.result.err)
	})
}

// TestColdTargetCostsNoRetry checks that requests beyond the share of a cold target are served by another one
// at once, without drawing on the retry budget.
func TestColdTargetCostsNoRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := coldStage()
		defer finish(f)
		f.Placement.PresumeCold("cold")
		for range 40 {
			s.send(t.Context(), f)
			assert.NilError(t, s.result.err)
		}
		assert.Equal(t, s.result.retried, 0)
		assert.Assert(t, s.countReceivedBy("addr0") <= 1, "%v", s.result.received)
	})
}

// countReceivedBy returns how many requests the target at addr has read.
func (s *stage) countReceivedBy(addr string) int {
	n := s.conductOf(addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	out := 0
	for _, received := range s.result.received {
		if received == n {
			out++
		}
	}
	return out
}

// TestColdTargetIsNotBlamed checks that a request which finds the share of a cold target used up, after it was chosen,
// goes on elsewhere, and that this does not count as a failure of the target.
func TestColdTargetIsNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := coldStage()
		defer finish(f)
		blamed := false
		f.Placement.OnHealthChange = func(placement.HealthChange) { blamed = true }
		f.Placement.Update(roster.New(nil))
		f.Placement.Update(roster.New([]roster.Instance{{ID: "i0", Service: "s", Addr: "addr0", Capacity: 8, FailureDomain: "cold", TellsCold: true}}))
		f.Placement.PresumeCold("cold")
		s.scenario.Conducts[0].Dial = 100 * time.Millisecond
		var slots []*placement.Slot
		for range 2 {
			slot, err := f.Placement.Choose(t.Context(), "s", placement.Requirements{})
			assert.NilError(t, err)
			slots = append(slots, slot)
		}
		ar := &activeRequest{ctx: t.Context(), deadline: time.Now().Add(time.Minute)}
		for n, slot := range slots {
			conn, err := slot.Conn(t.Context(), true)
			assert.Equal(t, err != nil, n == 1)
			if err == nil {
				conn.Release()
				continue
			}
			assert.Assert(t, !reachedTarget(err))
			slot.End(ar.outcomeOf(err))
		}
		assert.Assert(t, !blamed)
	})
}
