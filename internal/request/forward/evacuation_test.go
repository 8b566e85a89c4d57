package forward

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/roster"
	"rosevalve/internal/workspace/plan"
)

// anyTarget is the route of the tests with evacuations.
func anyTarget(kind plan.Kind) plan.Route {
	return plan.Route{
		Name: "r", Host: "h", Prefix: "/", Kind: kind, Resumable: kind == plan.Streaming, MaxTargets: 2, Timeout: 5 * time.Second,
		LatencyGoal: time.Second, EventGapGoal: 100 * time.Millisecond, Splits: []plan.Split{{Service: "s", Weight: 1}},
	}
}

// playEvacuation plays a scenario in which each target has a failure domain of its own. evacuated reports whether that of
// the n-th target that was dialled is evacuated at a time after the start, or of one that was not dialled, if n is -1. It
// returns the result and how long the request took.
func playEvacuation(t *testing.T, sc scenario, evacuated func(n int, after time.Duration) bool) (result, time.Duration) {
	t.Helper()
	s := &stage{scenario: sc, order: make(map[string]int)}
	var took time.Duration
	synctest.Test(t, func(t *testing.T) {
		f := s.forwarder()
		began := time.Now()
		f.Placement.Evacuated = func(domain string) bool {
			s.mu.Lock()
			n, dialled := s.order[domain]
			s.mu.Unlock()
			if !dialled {
				n = -1
			}
			return evacuated(n, time.Since(began))
		}
		var instances []roster.Instance
		for n := range sc.Conducts {
			addr := fmt.Sprint("addr", n)
			instances = append(instances, roster.Instance{ID: fmt.Sprint("i", n), Service: "s", Addr: addr, FailureDomain: addr, Capacity: 8})
		}
		f.Placement.Update(roster.New(instances))
		s.send(t.Context(), f)
		took = time.Since(began)
		synctest.Wait()
		f.Placement.Prune(time.Now().Add(time.Hour))
		time.Sleep(2 * dialForever)
	})
	s.result.dialled = len(s.order)
	return s.result, took
}

// TestEvacuationWhileTheRequestWaitsForAConnection guards against requests that reach targets of a domain which was
// evacuated after they were placed there.
func TestEvacuationWhileTheRequestWaitsForAConnection(t *testing.T) {
	for _, kind := range []plan.Kind{plan.Idempotent, plan.NonIdempotent, plan.Streaming} {
		t.Run(kind.String(), func(t *testing.T) {
			sc := scenario{Route: anyTarget(kind), NoBudget: true, Conducts: []conduct{{Dial: 200 * time.Millisecond}, {}}}
			got, _ := playEvacuation(t, sc, func(n int, after time.Duration) bool { return n == 0 && after >= 100*time.Millisecond })
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, fasthttp.StatusOK)
			assert.DeepEqual(t, got.received, []int{1})
		})
	}
}

func TestAllDomainsEvacuated(t *testing.T) {
	for _, kind := range []plan.Kind{plan.Idempotent, plan.NonIdempotent, plan.Streaming} {
		t.Run(kind.String(), func(t *testing.T) {
			got, took := playEvacuation(t, scenario{Route: anyTarget(kind), Conducts: []conduct{{}, {}}}, func(int, time.Duration) bool { return true })
			var refusal *answer.Error
			assert.Assert(t, errors.As(got.err, &refusal))
			assert.Equal(t, refusal.Code, "failure_domains_evacuated")
			assert.Equal(t, refusal.Status, fasthttp.StatusServiceUnavailable)
			assert.Equal(t, refusal.Run, answer.NotRun)
			assert.Assert(t, refusal.RetryAfter > 0)
			assert.Equal(t, took, time.Duration(0))
			assert.Equal(t, got.dialled, 0)
		})
	}
}

// TestStreamInFlightFinishes shows that an evacuation ends no stream that has begun.
func TestStreamInFlightFinishes(t *testing.T) {
	c := conduct{}
	for n := range c.Silences {
		c.Silences[n] = 50 * time.Millisecond
	}
	got, _ := playEvacuation(t, scenario{Route: anyTarget(plan.Streaming), Conducts: []conduct{c, {}}}, func(n int, after time.Duration) bool {
		return n == 0 && after >= 120*time.Millisecond
	})
	assert.NilError(t, got.err)
	assert.Equal(t, got.text, events(eventCount))
	assert.DeepEqual(t, got.received, []int{0})
}

// TestSecondAttemptsAvoidEvacuatedDomains guards against attempts in place of one that broke off, and beside one that is
// silent, at targets of evacuated domains.
func TestSecondAttemptsAvoidEvacuatedDomains(t *testing.T) {
	silent := conduct{}
	silent.Silences[0] = 3 * time.Second
	broken, refuses := conduct{BreaksAt: 3}, conduct{Refuses: true}
	broken.Silences[0], refuses.Silences[0] = 10*time.Millisecond, 10*time.Millisecond
	for name, first := range map[string]conduct{"silent": silent, "broken off": broken, "not run": refuses} {
		t.Run(name, func(t *testing.T) {
			got, _ := playEvacuation(t, scenario{Route: anyTarget(plan.Streaming), Conducts: []conduct{first, {}}}, func(n int, after time.Duration) bool {
				return n != 0 && after > 0
			})
			assert.DeepEqual(t, got.received, []int{0})
		})
	}
}
