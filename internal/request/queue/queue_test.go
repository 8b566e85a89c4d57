package queue

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/health"
	"rosevalve/internal/target/pool"
	"rosevalve/internal/workspace/catalogue"
)

const testModel = "oak"

// fixture is a pool whose targets have fixed limits, and the queues that draw from it.
type fixture struct {
	pool   *pool.Pool
	queues *Queues
}

// newFixture returns a fixture whose targets have the given limit each. Both waits are
// bounded by an hour, so only tests that set a shorter bound see refusals for it.
func newFixture(targets, limit int) *fixture {
	f := &fixture{pool: &pool.Pool{Goals: health.LimitConfig{Initial: limit, Fixed: true}}}
	f.queues = &Queues{Pick: f.pool.Reserve, Slots: f.pool.Slots, ProbeDelay: f.pool.ProbeDelay, MaxLongWait: time.Hour, MaxUrgentWait: time.Hour}
	f.pool.OnFreeSlot = f.queues.GrantFreed
	f.pool.SetTargets(engines(targets))
	return f
}

// engines returns n targets that serve testModel.
func engines(n int) []catalogue.Target {
	var out []catalogue.Target
	for i := range n {
		out = append(out, catalogue.Target{Addr: fmt.Sprintf("10.0.0.%d:80", i+1), Models: []string{testModel}})
	}
	return out
}

func newRequest(workspace string, urgent bool, tokens int64) Request {
	return Request{Workspace: workspace, Demand: pool.Requirements{Model: testModel, Urgent: urgent, Tokens: tokens}}
}

// hold acquires a slot, holds it for perToken for each token of the request, and
// adds the tokens to served.
func (f *fixture) hold(ctx context.Context, t Request, perToken time.Duration, served *atomic.Int64) *answer.Error {
	slot, refusal := f.queues.Acquire(ctx, t)
	if refusal != nil {
		return refusal
	}
	served.Add(t.Demand.Tokens)
	time.Sleep(time.Duration(t.Demand.Tokens) * perToken)
	slot.Release()
	return nil
}

// backlog keeps n copies of the request queued or running until ctx ends.
func (f *fixture) backlog(ctx context.Context, n int, t Request, served *atomic.Int64) {
	for range n {
		go func() {
			for ctx.Err() == nil {
				_ = f.hold(ctx, t, time.Millisecond, served)
			}
		}()
	}
}

// jainIndex returns Jain's fairness index of the shares.
func jainIndex(shares []float64) float64 {
	var sum, squares float64
	for _, s := range shares {
		sum += s
		squares += s * s
	}
	return sum * sum / (float64(len(shares)) * squares)
}

// servedFairness keeps three workspaces of different weights and request sizes
// backlogged and returns Jain's index of the tokens served divided by weight.
func servedFairness(t *testing.T, order func(a, b Candidate) bool) float64 {
	t.Helper()
	var index float64
	synctest.Test(t, func(*testing.T) {
		f := newFixture(2, 4)
		f.queues.Less = order
		f.queues.HeadStart = 1000
		ctx, cancel := context.WithCancel(context.Background())
		var served [3]atomic.Int64
		heavy := newRequest("b", false, 400)
		heavy.Weight = 2
		f.backlog(ctx, 100, newRequest("a", false, 100), &served[0])
		f.backlog(ctx, 20, heavy, &served[1])
		f.backlog(ctx, 60, newRequest("c", true, 50), &served[2])
		time.Sleep(2 * time.Minute)
		cancel()
		time.Sleep(time.Minute)
		index = jainIndex([]float64{float64(served[0].Load()), float64(served[1].Load()) / 2, float64(served[2].Load())})
	})
	return index
}

// TestWorkspacesShareByWeight guards against a workspace that gets more than its share
// because it sends more or larger requests.
func TestWorkspacesShareByWeight(t *testing.T) {
	index := servedFairness(t, nil)
	assert.Assert(t, index >= 0.99, "Jain's index is %f", index)
}

// TestArrivalOrderIsUnfair checks that the load of TestWorkspacesShareByWeight is shared
// unfairly without the fair order.
func TestArrivalOrderIsUnfair(t *testing.T) {
	index := servedFairness(t, ArrivalOrder)
	assert.Assert(t, index < 0.9, "Jain's index is %f although the fair order is off", index)
}

// urgentWait returns the wait of an urgent request of a small workspace while long
// requests of another fill the queue.
func urgentWait(t *testing.T, order func(a, b Candidate) bool, noReserve bool) time.Duration {
	t.Helper()
	var waited time.Duration
	synctest.Test(t, func(*testing.T) {
		f := newFixture(1, 4)
		f.queues.Less = order
		f.pool.NoUrgentReserve = noReserve
		f.pool.SetTargets(engines(1))
		ctx, cancel := context.WithCancel(context.Background())
		for i := range int64(50) {
			go func() { _ = f.hold(ctx, newRequest("a", false, 1000+i), time.Millisecond, &atomic.Int64{}) }()
		}
		synctest.Wait()
		// The fourth slot is reserved for urgent requests; this one occupies it.
		go func() { _ = f.hold(ctx, newRequest("b", true, 1000), time.Millisecond, &atomic.Int64{}) }()
		synctest.Wait()
		start := time.Now()
		slot, refusal := f.queues.Acquire(ctx, newRequest("b", true, 10))
		waited = time.Since(start)
		if refusal == nil {
			slot.Release()
		}
		cancel()
		time.Sleep(time.Minute)
	})
	return waited
}

// TestUrgentGoesBeforeLong guards against an urgent request that waits behind the long
// requests of another workspace.
func TestUrgentGoesBeforeLong(t *testing.T) {
	assert.Assert(t, urgentWait(t, nil, false) <= time.Second)
}

// TestArrivalOrderHoldsUrgentBehindLong checks that the load of
// TestUrgentGoesBeforeLong delays the urgent request without the fair order and the
// reserved slots.
func TestArrivalOrderHoldsUrgentBehindLong(t *testing.T) {
	assert.Assert(t, urgentWait(t, ArrivalOrder, true) > 5*time.Second)
}

// longTokensServed returns the tokens of long requests served to the workspace
// that also has a backlog of urgent requests, and to another workspace.
func longTokensServed(t *testing.T, headStart int64, share float64) (own, other int64) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		f := newFixture(1, 4)
		f.queues.HeadStart = headStart
		f.queues.LongShare = share
		ctx, cancel := context.WithCancel(context.Background())
		var ownServed, otherServed atomic.Int64
		f.backlog(ctx, 20, newRequest("a", true, 100), &atomic.Int64{})
		synctest.Wait()
		f.backlog(ctx, 1, newRequest("a", false, 100), &ownServed)
		f.backlog(ctx, 1, newRequest("b", false, 100), &otherServed)
		time.Sleep(time.Minute)
		cancel()
		time.Sleep(time.Minute)
		own, other = ownServed.Load(), otherServed.Load()
	})
	return own, other
}

// TestLongIsNotStarved guards against long requests that never run beside a backlog of
// urgent ones.
func TestLongIsNotStarved(t *testing.T) {
	own, other := longTokensServed(t, 10_000, 0.1)
	assert.Assert(t, own > 0, "no long request of the backlogged workspace was served")
	assert.Assert(t, other > 0, "no long request of the other workspace was served")
}

// TestStrictPriorityStarvesLong checks that the load of TestLongIsNotStarved starves
// long requests if the head start is very large and their share negligible.
func TestStrictPriorityStarvesLong(t *testing.T) {
	own, other := longTokensServed(t, 1<<40, 1e-9)
	assert.Equal(t, own, int64(0))
	assert.Equal(t, other, int64(0))
}

// TestDeadTargetHoldsNothingOfOthers guards against requests for one target that delay
// those for others: the slots of a service are never released, and a request for a
// model still gets a slot immediately.
func TestDeadTargetHoldsNothingOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(2, 4)
		f.pool.SetTargets(append(engines(2), catalogue.Target{Addr: "10.0.1.1:80", Service: "stock"}))
		call := Request{Workspace: "a", Demand: pool.Requirements{Service: "stock", Urgent: true, Tokens: 1}}
		ctx, cancel := context.WithCancel(context.Background())
		for range 20 {
			go func() { _, _ = f.queues.Acquire(ctx, call) }()
		}
		synctest.Wait()
		start := time.Now()
		slot, refusal := f.queues.Acquire(ctx, newRequest("a", true, 10))
		assert.Assert(t, refusal == nil)
		assert.Equal(t, time.Since(start), time.Duration(0))
		slot.Release()
		cancel()
	})
}

// overload sends ten long requests to two slots and returns the refusals and the
// time until they arrived.
func overload(t *testing.T, bound time.Duration) (refusals []*answer.Error, elapsed time.Duration) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		f := newFixture(1, 2)
		f.queues.MaxLongWait = bound
		ctx, cancel := context.WithCancel(context.Background())
		answers := make(chan *answer.Error, 10)
		for range 10 {
			go func() { answers <- f.hold(ctx, newRequest("a", false, 1000), 2*time.Millisecond, &atomic.Int64{}) }()
		}
		start := time.Now()
		synctest.Wait()
		elapsed = time.Since(start)
		for len(answers) > 0 {
			refusals = append(refusals, <-answers)
		}
		cancel()
		time.Sleep(time.Minute)
	})
	return refusals, elapsed
}

// TestDoomedRequestIsRefusedAtOnce guards against requests that are queued although their
// expected wait exceeds the bound.
func TestDoomedRequestIsRefusedAtOnce(t *testing.T) {
	refusals, elapsed := overload(t, 3*time.Second)
	assert.Assert(t, len(refusals) > 0)
	assert.Equal(t, elapsed, time.Duration(0))
	for _, r := range refusals {
		assert.Equal(t, r.Run, answer.NotRun)
		assert.Assert(t, r.RetryAfter > 3*time.Second)
	}
}

// TestWithoutBoundDoomedRequestsAreHeld checks that the load of
// TestDoomedRequestIsRefusedAtOnce is queued if the bound is long.
func TestWithoutBoundDoomedRequestsAreHeld(t *testing.T) {
	refusals, _ := overload(t, time.Hour)
	assert.Equal(t, len(refusals), 0)
}

// TestCancelledWaiterLeavesAtOnce guards against waiters that stay queued after their
// context has ended.
func TestCancelledWaiterLeavesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1, 1)
		slot, refusal := f.queues.Acquire(context.Background(), newRequest("a", true, 10))
		assert.Assert(t, refusal == nil)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _, _ = f.queues.Acquire(ctx, newRequest("a", true, 10)) }()
		synctest.Wait()
		assert.Equal(t, f.queues.State()[0].Waiting, 1)
		cancel()
		synctest.Wait()
		assert.Equal(t, f.queues.State()[0].Waiting, 0)
		slot.Release()
	})
}

// TestWaitersAreRefusedWhenNoTargetIsLeft guards against requests that wait in vain: the
// only target becomes unreachable while one is queued.
func TestWaitersAreRefusedWhenNoTargetIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1, 1)
		slot, _ := f.queues.Acquire(context.Background(), newRequest("a", true, 10))
		answers := make(chan *answer.Error, 1)
		go func() {
			_, refusal := f.queues.Acquire(context.Background(), newRequest("b", true, 10))
			answers <- refusal
		}()
		synctest.Wait()
		slot.SetOutcome(pool.Unreachable)
		synctest.Wait()
		refusal := <-answers
		assert.Equal(t, refusal.Run, answer.NotRun)
		assert.Assert(t, refusal.RetryAfter > 0)
		slot.Release()
	})
}
