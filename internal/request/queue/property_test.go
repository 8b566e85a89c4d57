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

// request is one request as the oracle knows it.
type request struct {
	ticket  Ticket
	cancel  context.CancelFunc
	place   *pool.Place
	refused bool
	done    chan struct{}
}

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
	kind   int
	who    int
	urgent bool
	tokens int64
}

// oracle runs the steps against the real queue and pool and checks them after each.
type oracle struct {
	f        *fixture
	leaving  map[string]bool
	requests []*request
}

func (o *oracle) run(steps []step) error {
	defer o.cancelAll()
	for i, s := range steps {
		if err := o.apply(s); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		synctest.Wait()
		if err := o.check(); err != nil {
			return fmt.Errorf("after step %d: %w", i, err)
		}
	}
	return o.finish()
}

func (o *oracle) apply(s step) error {
	switch s.kind {
	case 0, 1, 2:
		o.enter(ticket(fmt.Sprint("w", s.who%3), s.urgent, s.tokens))
	case 3, 4:
		o.release(s.who)
	case 5:
		if len(o.requests) > 0 {
			o.requests[s.who%len(o.requests)].cancel()
		}
	case 6:
		addr := engines(3)[s.who%3].Addr
		o.leaving[addr] = !o.leaving[addr]
		o.f.pool.SetLeaving(o.leaving)
	case 7:
		time.Sleep(time.Duration(s.tokens) * time.Millisecond)
	}
	return nil
}

func (o *oracle) enter(t Ticket) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &request{ticket: t, cancel: cancel, done: make(chan struct{})}
	o.requests = append(o.requests, r)
	go func() {
		place, refusal := o.f.queues.Acquire(ctx, t)
		r.place, r.refused = place, refusal != nil
		close(r.done)
	}()
}

func (o *oracle) release(n int) {
	if len(o.requests) == 0 {
		return
	}
	r := o.requests[n%len(o.requests)]
	if !r.waiting() && r.place != nil {
		r.place.Release()
		r.place = nil
	}
}

// check compares the pool and the queue with what the oracle has seen.
func (o *oracle) check() error {
	held, waiting := make(map[string]int), 0
	long, urgentWaits, longWaits := make(map[string]int), false, false
	for _, r := range o.requests {
		switch {
		case r.waiting():
			waiting++
			urgentWaits = urgentWaits || r.ticket.Demand.Urgent
			longWaits = longWaits || !r.ticket.Demand.Urgent
		case r.place != nil:
			held[r.place.Addr()]++
			if !r.ticket.Demand.Urgent {
				long[r.place.Addr()]++
			}
		}
	}
	for _, s := range o.f.pool.State() {
		if s.Outstanding != held[s.Addr] || s.Outstanding > s.Limit {
			return fmt.Errorf("target %s has %d of %d requests; %d are held", s.Addr, s.Outstanding, s.Limit, held[s.Addr])
		}
		free := s.Outstanding < s.Limit && !o.leaving[s.Addr]
		if free && (urgentWaits || longWaits && long[s.Addr] < s.Limit-1) {
			return fmt.Errorf("target %s has a free place while a request waits", s.Addr)
		}
	}
	for _, s := range o.f.queues.State() {
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

// finish lets all targets serve again and expects every waiter to be answered.
func (o *oracle) finish() error {
	o.f.pool.SetLeaving(nil)
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
			who:    rapid.IntRange(0, 30).Draw(t, "who"),
			urgent: rapid.Bool().Draw(t, "urgent"),
			tokens: int64(rapid.IntRange(1, 500).Draw(t, "tokens")),
		}
	}), 1, 80).Draw(t, "steps")
}

// play runs one case in a bubble of virtual time.
func play(t *testing.T, steps []step, change func(*fixture)) error {
	var err error
	synctest.Test(t, func(*testing.T) {
		f := newFixture(3, 3)
		change(f)
		err = (&oracle{f: f, leaving: make(map[string]bool)}).run(steps)
	})
	return err
}

func TestQueueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := play(t, drawSteps(rt), func(*fixture) {}); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestOracleSeesLostWakeups switches off the notice of free places.
func TestOracleSeesLostWakeups(t *testing.T) {
	expectFailure(t, func(f *fixture) { f.pool.OnRoom = nil })
}

// TestOracleSeesWorkForLeavingTargets lets a target that leaves seem to stay.
func TestOracleSeesWorkForLeavingTargets(t *testing.T) {
	expectFailure(t, func(f *fixture) {
		hidden := &pool.Pool{Goals: f.pool.Goals}
		hidden.Set(engines(3))
		f.queues.Pick = hidden.Pick
	})
}

// expectFailure plays fixed cases until the oracle rejects one.
func expectFailure(t *testing.T, change func(*fixture)) {
	t.Helper()
	gen := rapid.Custom(drawSteps)
	for seed := range 200 {
		if err := play(t, gen.Example(seed), change); err != nil {
			t.Log("the oracle found: ", err)
			return
		}
	}
	t.Fatal("the oracle accepted every case although the mechanism is off")
}
