package queue

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"rosevalve/internal/target/pool"
)

// request is the oracle's record of one request.
type request struct {
	request Request
	cancel  context.CancelFunc
	slot    *pool.Slot
	refused bool
	done    chan struct{} // closed when Acquire has returned
}

// waiting reports whether Acquire has not returned yet.
func (r *request) waiting() bool {
	select {
	case <-r.done:
		return false
	default:
		return true
	}
}

// step is one action of a generated case.
type step struct {
	kind   int // 0-2 acquire, 3-4 release, 5 cancel, 6 toggle a target's leaving, 7 sleep
	index  int // selects the workspace, request or target
	urgent bool
	tokens int64 // of the request, or milliseconds to sleep
}

// oracle runs the steps against the real queue and pool and checks them after each.
type oracle struct {
	fixture  *fixture
	leaving  map[string]bool // by target address
	requests []*request
}

// run performs the steps and returns the first violation that it finds.
func (o *oracle) run(steps []step) error {
	defer o.cancelAll()
	for i, s := range steps {
		if err := o.perform(s); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		synctest.Wait()
		if err := o.check(); err != nil {
			return fmt.Errorf("after step %d: %w", i, err)
		}
	}
	return o.finish()
}

func (o *oracle) perform(s step) error {
	switch s.kind {
	case 0, 1, 2:
		o.acquire(newRequest(fmt.Sprint("w", s.index%3), s.urgent, s.tokens))
	case 3, 4:
		o.release(s.index)
	case 5:
		if len(o.requests) > 0 {
			o.requests[s.index%len(o.requests)].cancel()
		}
	case 6:
		addr := engines(3)[s.index%3].Addr
		o.leaving[addr] = !o.leaving[addr]
		o.fixture.pool.SetLeavingVMs(o.leaving)
	case 7:
		time.Sleep(time.Duration(s.tokens) * time.Millisecond)
	}
	return nil
}

// acquire starts a request for a slot.
func (o *oracle) acquire(t Request) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &request{request: t, cancel: cancel, done: make(chan struct{})}
	o.requests = append(o.requests, r)
	go func() {
		slot, refusal := o.fixture.queues.Acquire(ctx, t)
		r.slot, r.refused = slot, refusal != nil
		close(r.done)
	}()
}

// release releases the slot of the n-th request, modulo their number, if it has one.
func (o *oracle) release(n int) {
	if len(o.requests) == 0 {
		return
	}
	r := o.requests[n%len(o.requests)]
	if !r.waiting() && r.slot != nil {
		r.slot.Release()
		r.slot = nil
	}
}

// check compares the state of the pool and the queue with the recorded requests.
func (o *oracle) check() error {
	held, waiting := make(map[string]int), 0
	longHeld, urgentWaiting, longWaiting := make(map[string]int), false, false
	for _, r := range o.requests {
		switch {
		case r.waiting():
			waiting++
			urgentWaiting = urgentWaiting || r.request.Demand.Urgent
			longWaiting = longWaiting || !r.request.Demand.Urgent
		case r.slot != nil:
			held[r.slot.Addr()]++
			if !r.request.Demand.Urgent {
				longHeld[r.slot.Addr()]++
			}
		}
	}
	for _, s := range o.fixture.pool.State() {
		if s.Outstanding != held[s.Addr] || s.Outstanding > s.Limit {
			return fmt.Errorf("target %s has %d of %d requests; %d are held", s.Addr, s.Outstanding, s.Limit, held[s.Addr])
		}
		free := s.Outstanding < s.Limit && !o.leaving[s.Addr]
		if free && (urgentWaiting || longWaiting && longHeld[s.Addr] < s.Limit-1) {
			return fmt.Errorf("target %s has a free slot while a request waits", s.Addr)
		}
	}
	for _, s := range o.fixture.queues.State() {
		if s.Waiting != waiting {
			return fmt.Errorf("queue holds %d requests; %d wait", s.Waiting, waiting)
		}
	}
	return nil
}

func (o *oracle) cancelAll() {
	for _, r := range o.requests {
		r.cancel()
	}
}

// finish makes all targets available again, releases every slot, and returns an
// error if a request is still waiting.
func (o *oracle) finish() error {
	o.fixture.pool.SetLeavingVMs(nil)
	for range len(o.requests) + 1 {
		synctest.Wait()
		for i := range o.requests {
			o.release(i)
		}
	}
	synctest.Wait()
	var err error
	for i, r := range o.requests {
		if r.waiting() {
			err = fmt.Errorf("request %d was never answered", i)
		}
	}
	return err
}

func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:   rapid.IntRange(0, 7).Draw(t, "kind"),
			index:  rapid.IntRange(0, 30).Draw(t, "who"),
			urgent: rapid.Bool().Draw(t, "urgent"),
			tokens: int64(rapid.IntRange(1, 500).Draw(t, "tokens")),
		}
	}), 1, 80).Draw(t, "steps")
}

// runCase runs the steps in a synctest bubble on a fixture changed by alter, and
// returns the oracle's error.
func runCase(t *testing.T, steps []step, alter func(*fixture)) error {
	var err error
	synctest.Test(t, func(*testing.T) {
		f := newFixture(3, 3)
		alter(f)
		err = (&oracle{fixture: f, leaving: make(map[string]bool)}).run(steps)
	})
	return err
}

// TestQueueAgainstOracle checks, after each of a sequence of random steps, that no target
// exceeds its limit, that no slot is free while a request for it waits, and that the
// number of waiters is right; at the end, every request must have been answered.
func TestQueueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := runCase(t, drawSteps(rt), func(*fixture) {}); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestOracleSeesLostWakeups checks that the oracle detects a pool that doesn't
// notify the queues of free slots.
func TestOracleSeesLostWakeups(t *testing.T) {
	expectOracleError(t, func(f *fixture) { f.pool.OnFreeSlot = nil })
}

// TestOracleSeesWorkForLeavingTargets checks that the oracle detects requests sent
// to leaving targets: the queues pick from a pool that doesn't know which leave.
func TestOracleSeesWorkForLeavingTargets(t *testing.T) {
	expectOracleError(t, func(f *fixture) {
		unaware := &pool.Pool{Goals: f.pool.Goals}
		unaware.SetTargets(engines(3))
		f.queues.Pick = unaware.Reserve
	})
}

// expectOracleError runs fixed cases until the oracle rejects one.
func expectOracleError(t *testing.T, alter func(*fixture)) {
	t.Helper()
	gen := rapid.Custom(drawSteps)
	for seed := range 200 {
		if err := runCase(t, gen.Example(seed), alter); err != nil {
			t.Log("oracle error: ", err)
			return
		}
	}
	t.Fatal("oracle accepted every case although the mechanism is switched off")
}
