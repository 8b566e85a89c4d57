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

// fixture is a pool with fixed limits and the queues before it.
type fixture struct {
	pool   *pool.Pool
	queues *Queues
}

func newFixture(targets, limit int) *fixture {
	f := &fixture{pool: &pool.Pool{Goals: health.Goals{Initial: limit, Fixed: true}}}
	f.queues = &Queues{Pick: f.pool.Pick, Places: f.pool.Places, ProbeIn: f.pool.ProbeIn, LongWait: time.Hour, UrgentWait: time.Hour}
	f.pool.OnRoom = f.queues.Room
	f.pool.Set(engines(targets))
	return f
}

func engines(n int) []catalogue.Target {
	var out []catalogue.Target
	for i := range n {
		out = append(out, catalogue.Target{Addr: fmt.Sprintf("10.0.0.%d:80", i+1), Models: []string{testModel}})
	}
	return out
}

func ticket(workspace string, urgent bool, tokens int64) Ticket {
	return Ticket{Workspace: workspace, Demand: pool.Demand{Model: testModel, Urgent: urgent, Tokens: tokens}}
}

// hold acquires a place, holds it for a time in proportion to the tokens, and counts them.
func (f *fixture) hold(ctx context.Context, t Ticket, perToken time.Duration, served *atomic.Int64) *answer.Error {
	place, refusal := f.queues.Acquire(ctx, t)
	if refusal != nil {
		return refusal
	}
	served.Add(t.Demand.Tokens)
	time.Sleep(time.Duration(t.Demand.Tokens) * perToken)
	place.Release()
	return nil
}

// backlog keeps n requests of the ticket waiting or running until ctx ends.
func (f *fixture) backlog(ctx context.Context, n int, t Ticket, served *atomic.Int64) {
	for range n {
		go func() {
			for ctx.Err() == nil {
				_ = f.hold(ctx, t, time.Millisecond, served)
			}
		}()
	}
}

// jain returns Jain's fairness index of the shares.
func jain(shares []float64) float64 {
	var sum, squares float64
	for _, s := range shares {
		sum += s
		squares += s * s
	}
	return sum * sum / (float64(len(shares)) * squares)
}

// fairness backlogs three workspaces of different weights and request sizes and
// returns Jain's index of the tokens served by weight.
func fairness(t *testing.T, before func(a, b Waiting) bool) float64 {
	t.Helper()
	var index float64
	synctest.Test(t, func(*testing.T) {
		f := newFixture(2, 4)
		f.queues.Before = before
		f.queues.Warp = 1000
		ctx, cancel := context.WithCancel(context.Background())
		var served [3]atomic.Int64
		heavy := ticket("b", false, 400)
		heavy.Weight = 2
		f.backlog(ctx, 100, ticket("a", false, 100), &served[0])
		f.backlog(ctx, 20, heavy, &served[1])
		f.backlog(ctx, 60, ticket("c", true, 50), &served[2])
		time.Sleep(2 * time.Minute)
		cancel()
		time.Sleep(time.Minute)
		index = jain([]float64{float64(served[0].Load()), float64(served[1].Load()) / 2, float64(served[2].Load())})
	})
	return index
}

func TestWorkspacesShareByWeight(t *testing.T) {
	fair := fairness(t, nil)
	assert.Assert(t, fair >= 0.99, "Jain's index is %f", fair)
}

func TestArrivalOrderIsUnfair(t *testing.T) {
	fair := fairness(t, ByArrival)
	assert.Assert(t, fair < 0.9, "Jain's index is %f although the fair order is off", fair)
}

// urgentFirst returns how long an urgent request of a small workspace waits while long work of others fills the queue.
func urgentFirst(t *testing.T, before func(a, b Waiting) bool, noReserve bool) time.Duration {
	t.Helper()
	var waited time.Duration
	synctest.Test(t, func(*testing.T) {
		f := newFixture(1, 4)
		f.queues.Before = before
		f.pool.NoReserve = noReserve
		f.pool.Set(engines(1))
		ctx, cancel := context.WithCancel(context.Background())
		for i := range int64(50) {
			go func() { _ = f.hold(ctx, ticket("a", false, 1000+i), time.Millisecond, &atomic.Int64{}) }()
		}
		synctest.Wait()
		// The fourth place is kept for urgent requests, so a first one fills it.
		go func() { _ = f.hold(ctx, ticket("b", true, 1000), time.Millisecond, &atomic.Int64{}) }()
		synctest.Wait()
		began := time.Now()
		place, refusal := f.queues.Acquire(ctx, ticket("b", true, 10))
		waited = time.Since(began)
		if refusal == nil {
			place.Release()
		}
		cancel()
		time.Sleep(time.Minute)
	})
	return waited
}

func TestUrgentGoesBeforeLong(t *testing.T) {
	assert.Assert(t, urgentFirst(t, nil, false) <= time.Second)
}

func TestArrivalOrderHoldsUrgentBehindLong(t *testing.T) {
	assert.Assert(t, urgentFirst(t, ByArrival, true) > 5*time.Second)
}

// longServed returns the long tokens served beside a backlog of urgent ones of the same workspace and of another.
func longServed(t *testing.T, warp int64, share float64) (own, other int64) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		f := newFixture(1, 4)
		f.queues.Warp = warp
		f.queues.LongShare = share
		ctx, cancel := context.WithCancel(context.Background())
		var owns, others atomic.Int64
		f.backlog(ctx, 20, ticket("a", true, 100), &atomic.Int64{})
		synctest.Wait()
		f.backlog(ctx, 1, ticket("a", false, 100), &owns)
		f.backlog(ctx, 1, ticket("b", false, 100), &others)
		time.Sleep(time.Minute)
		cancel()
		time.Sleep(time.Minute)
		own, other = owns.Load(), others.Load()
	})
	return own, other
}

func TestLongIsNotStarved(t *testing.T) {
	own, other := longServed(t, 10_000, 0.1)
	assert.Assert(t, own > 0, "the workspace's own long work got nothing")
	assert.Assert(t, other > 0, "the other workspace's long work got nothing")
}

func TestStrictPriorityStarvesLong(t *testing.T) {
	own, other := longServed(t, 1<<40, 1e-9)
	assert.Equal(t, own, int64(0))
	assert.Equal(t, other, int64(0))
}

func TestDeadTargetHoldsNothingOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(2, 4)
		f.pool.Set(append(engines(2), catalogue.Target{Addr: "10.0.1.1:80", Service: "stock"}))
		call := Ticket{Workspace: "a", Demand: pool.Demand{Service: "stock", Urgent: true, Tokens: 1}}
		ctx, cancel := context.WithCancel(context.Background())
		for range 20 {
			go func() { _, _ = f.queues.Acquire(ctx, call) }()
		}
		synctest.Wait()
		began := time.Now()
		place, refusal := f.queues.Acquire(ctx, ticket("a", true, 10))
		assert.Assert(t, refusal == nil)
		assert.Equal(t, time.Since(began), time.Duration(0))
		place.Release()
		cancel()
	})
}

// overloaded fills the places, and returns the refusals among ten long requests and how long each took to come.
func overloaded(t *testing.T, bound time.Duration) (refusals []*answer.Error, took time.Duration) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		f := newFixture(1, 2)
		f.queues.LongWait = bound
		ctx, cancel := context.WithCancel(context.Background())
		answers := make(chan *answer.Error, 10)
		for range 10 {
			go func() { answers <- f.hold(ctx, ticket("a", false, 1000), 2*time.Millisecond, &atomic.Int64{}) }()
		}
		began := time.Now()
		synctest.Wait()
		took = time.Since(began)
		for len(answers) > 0 {
			refusals = append(refusals, <-answers)
		}
		cancel()
		time.Sleep(time.Minute)
	})
	return refusals, took
}

func TestDoomedRequestIsRefusedAtOnce(t *testing.T) {
	refusals, took := overloaded(t, 3*time.Second)
	assert.Assert(t, len(refusals) > 0)
	assert.Equal(t, took, time.Duration(0))
	for _, r := range refusals {
		assert.Equal(t, r.Run, answer.NotRun)
		assert.Assert(t, r.RetryAfter > 3*time.Second)
	}
}

func TestWithoutBoundDoomedRequestsAreHeld(t *testing.T) {
	refusals, _ := overloaded(t, time.Hour)
	assert.Equal(t, len(refusals), 0)
}

func TestCancelledWaiterLeavesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1, 1)
		place, refusal := f.queues.Acquire(context.Background(), ticket("a", true, 10))
		assert.Assert(t, refusal == nil)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _, _ = f.queues.Acquire(ctx, ticket("a", true, 10)) }()
		synctest.Wait()
		assert.Equal(t, f.queues.State()[0].Waiting, 1)
		cancel()
		synctest.Wait()
		assert.Equal(t, f.queues.State()[0].Waiting, 0)
		place.Release()
	})
}

func TestWaitersAreRefusedWhenNoTargetIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1, 1)
		place, _ := f.queues.Acquire(context.Background(), ticket("a", true, 10))
		answers := make(chan *answer.Error, 1)
		go func() {
			_, refusal := f.queues.Acquire(context.Background(), ticket("b", true, 10))
			answers <- refusal
		}()
		synctest.Wait()
		place.Report(pool.Unreachable)
		synctest.Wait()
		refusal := <-answers
		assert.Equal(t, refusal.Run, answer.NotRun)
		assert.Assert(t, refusal.RetryAfter > 0)
		place.Release()
	})
}
