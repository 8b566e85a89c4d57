package queue

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/pool"
)

// line is the queue of one model or plain service.
type line struct {
	owner *Queues
	name  string

	mu      sync.Mutex // guards the fields below
	flows   map[string]*flow
	virtual float64 // the least virtual time of the workspaces that wait
	highest float64 // the greatest virtual time of all workspaces
	arrived uint64
	waiting int
	speed   speed
}

// enter adds the ticket and returns its waiter, or the refusal.
func (q *line) enter(ctx context.Context, t Ticket) (*waiter, *answer.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.arrived++
	w := &waiter{
		ticket:  t,
		number:  q.arrived,
		since:   time.Now(),
		cost:    float64(max(1, t.Demand.Tokens)),
		outcome: make(chan outcome, 1),
	}
	w.deadline, _ = ctx.Deadline()
	f := q.flow(t)
	ownAhead := f.urgentBacklog
	if !t.Demand.Urgent {
		ownAhead = f.longBacklog
	}
	f.add(w)
	q.waiting++
	waitingNow.Add(1)
	q.pump()
	if w.element == nil {
		return w, nil
	}
	if wait := q.expected(f, w, ownAhead); wait > q.bound(w) {
		q.leave(f, w)
		refused.Add(1)
		return nil, busy(codeOverloaded, retryAfter(wait, w.number), "the wait for a target would be too long")
	}
	return w, nil
}

// flow returns the workspace's flow. The caller holds mu.
func (q *line) flow(t Ticket) *flow {
	f, ok := q.flows[t.Workspace]
	if !ok {
		f = &flow{name: t.Workspace, virtual: q.virtual}
		q.flows[t.Workspace] = f
	}
	f.weight = float64(max(1, t.Weight))
	if f.idle() {
		// An idle workspace saves nothing up.
		f.virtual = max(f.virtual, q.virtual)
	}
	return f
}

// pump grants places for as long as a waiter fits one. The caller holds mu.
func (q *line) pump() {
	blocked := make(map[*waiter]bool)
	var full, longFull bool
	for !full {
		next, ok := q.next(blocked, longFull)
		if !ok {
			return
		}
		place, err := q.owner.Pick(next.w.ticket.Demand)
		switch {
		case err == nil:
			q.grant(next.f, next.w, place)
		case errors.Is(err, pool.ErrNoRoom) && next.w.ticket.retry():
			blocked[next.w] = true
		case errors.Is(err, pool.ErrNoRoom) && next.Urgent():
			full = true
		case errors.Is(err, pool.ErrNoRoom):
			longFull = true
		default:
			q.refuse(next.f, next.w, codeNoTarget, q.owner.retryIn(next.w.ticket.Demand), "no target can take the request now")
		}
	}
}

// next returns the first waiter by the order that may fit. The caller holds mu.
func (q *line) next(blocked map[*waiter]bool, longFull bool) (Waiting, bool) {
	before := q.owner.before()
	var first Waiting
	found := false
	for _, f := range q.flows {
		for _, c := range f.heads(q.warp()) {
			if blocked[c.w] || (longFull && !c.Urgent()) {
				continue
			}
			if !found || before(c, first) {
				first, found = c, true
			}
		}
	}
	return first, found
}

// grant hands the place to the waiter and charges its workspace. The caller holds mu.
func (q *line) grant(f *flow, w *waiter, place *pool.Place) {
	q.virtual = max(q.virtual, q.least())
	q.leave(f, w)
	if !w.ticket.retry() {
		f.charge(w, q.owner.longShare())
	}
	q.highest = max(q.highest, f.virtual)
	if q.waiting == 0 {
		// Nobody waits for what the workspaces took, so they owe nothing for it.
		q.virtual = q.highest
	}
	place.OnRelease = func(used int64, held time.Duration) { q.settle(w, used, held) }
	granted.Add(1)
	observeWait(w.ticket.Demand.Urgent, time.Since(w.since))
	w.outcome <- outcome{place: place}
}

// least returns the smallest virtual time of the workspaces that wait. The caller holds mu.
func (q *line) least() float64 {
	found := false
	var least float64
	for _, f := range q.flows {
		if !f.idle() && (!found || f.virtual < least) {
			found, least = true, f.virtual
		}
	}
	return least
}

// settle takes in a place that was given back: its turnover, and what the request really used.
func (q *line) settle(w *waiter, used int64, held time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.speed.add(w.cost, held)
	f, ok := q.flows[w.ticket.Workspace]
	if !ok || used <= 0 || w.ticket.retry() {
		return
	}
	f.virtual += (float64(used) - w.cost) / f.weight
	q.forget(f)
}

// leave takes a waiter out of the queue. The caller holds mu.
func (q *line) leave(f *flow, w *waiter) {
	f.remove(w)
	q.waiting--
	waitingNow.Add(-1)
}

// forget drops a flow that has nothing to wait for and owes nothing. The caller holds mu.
func (q *line) forget(f *flow) {
	if f.idle() && f.virtual <= q.virtual {
		delete(q.flows, f.name)
	}
}

// refuse ends a waiter's wait without a place. The caller holds mu.
func (q *line) refuse(f *flow, w *waiter, code string, wait time.Duration, message string) {
	q.leave(f, w)
	refused.Add(1)
	w.outcome <- outcome{refusal: busy(code, retryAfter(wait, w.number), message)}
}

// abandon takes out a waiter whose caller has gone; a place that it was just granted is given back.
func (q *line) abandon(w *waiter) {
	q.mu.Lock()
	if w.element != nil {
		q.leave(q.flows[w.ticket.Workspace], w)
		cancelled.Add(1)
	}
	q.mu.Unlock()
	select {
	case o := <-w.outcome:
		if o.place != nil {
			o.place.Release()
		}
	default:
	}
}

// review grants what fits and refuses the waiters whose expected wait has grown too long.
func (q *line) review() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pump()
	for _, f := range q.flows {
		q.shed(f, true)
		q.shed(f, false)
		q.forget(f)
	}
}

// shed refuses waiters from the end of a class. The caller holds mu.
func (q *line) shed(f *flow, urgent bool) {
	class := f.class(urgent)
	for e := class.Back(); e != nil; e = class.Back() {
		w := e.Value.(*waiter)
		backlog := f.longBacklog
		if urgent {
			backlog = f.urgentBacklog
		}
		wait := q.expected(f, w, backlog-w.cost)
		if float64(wait) <= shedTolerance*float64(q.bound(w)) {
			return
		}
		q.refuse(f, w, codeOverloaded, wait, "the wait for a target has become too long")
	}
}

func (q *line) places(d pool.Demand) int { return q.owner.Places(d) }

func (q *line) warp() float64 { return float64(q.owner.warp()) }
