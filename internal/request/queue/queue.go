package queue

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/pool"
)

// queue holds the waiting requests for one model or plain service.
type queue struct {
	owner *Queues
	name  string // as queueName returns it

	mu             sync.Mutex // guards the fields below
	flows          map[string]*flow
	virtualTime    float64  // highest value so far of minVirtualTime, or maxVirtualTime once nothing waits
	maxVirtualTime float64  // greatest virtual time that a flow had at a grant
	arrivals       uint64   // requests enqueued since the start; numbers the waiters
	waiting        int      // number of waiters
	turnover       turnover // of the released slots
}

// enqueue adds a waiter for the request and grants what it can. It returns the
// waiter, which may already have its outcome, or a refusal if the expected wait
// exceeds the limit.
func (q *queue) enqueue(ctx context.Context, r Request) (*waiter, *answer.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.arrivals++
	w := &waiter{
		request:  r,
		arrival:  q.arrivals,
		enqueued: time.Now(),
		cost:     float64(max(1, r.Demand.Tokens)),
		outcome:  make(chan outcome, 1),
	}
	w.deadline, _ = ctx.Deadline()
	f := q.flow(r)
	ownAhead := f.urgentBacklog
	if !r.Demand.Urgent {
		ownAhead = f.longBacklog
	}
	f.add(w)
	q.waiting++
	waitingRequests.Add(1)
	q.grantSlots()
	if w.element == nil {
		return w, nil
	}
	if wait := q.expectedWait(f, w, ownAhead); wait > q.maxWait(w) {
		q.dequeue(f, w)
		refusedRequests.Add(1)
		return nil, unavailable(codeOverloaded, retryAfter(wait, w.arrival), "the wait for a target would be too long")
	}
	return w, nil
}

// flow returns the flow of the request's workspace, creating it if necessary. The
// caller holds mu.
func (q *queue) flow(r Request) *flow {
	f, ok := q.flows[r.Workspace]
	if !ok {
		f = &flow{workspace: r.Workspace, virtualTime: q.virtualTime}
		q.flows[r.Workspace] = f
	}
	f.weight = float64(max(1, r.Weight))
	if f.idle() {
		// A workspace accumulates no entitlement while it is idle.
		f.virtualTime = max(f.virtualTime, q.virtualTime)
	}
	return f
}

// grantSlots grants slots to waiters in order until none of the remaining ones
// can get a slot. It refuses a waiter for which no target is left. The caller
// holds mu.
func (q *queue) grantSlots() {
	// Retries exclude targets, so one that gets no slot says nothing about others.
	blocked := make(map[*waiter]bool)
	// Long requests may not use the slots reserved for urgent ones, so longFull
	// leaves urgent waiters eligible.
	var full, longFull bool
	for !full {
		next, ok := q.next(blocked, longFull)
		if !ok {
			return
		}
		slot, err := q.owner.Pick(next.w.request.Demand)
		switch {
		case err == nil:
			q.grant(next.f, next.w, slot)
		case errors.Is(err, pool.ErrNoFreeSlot) && next.w.request.retry():
			blocked[next.w] = true
		case errors.Is(err, pool.ErrNoFreeSlot) && next.Urgent():
			full = true
		case errors.Is(err, pool.ErrNoFreeSlot):
			longFull = true
		default:
			q.refuse(next.f, next.w, codeNoTarget, q.owner.probeDelay(next.w.request.Demand), "no target can take the request now")
		}
	}
}

// next returns the first waiter in the order that is not blocked, and reports
// whether there is one. With longFull set it skips long requests. The caller holds mu.
func (q *queue) next(blocked map[*waiter]bool, longFull bool) (Candidate, bool) {
	less := q.owner.less()
	var first Candidate
	found := false
	for _, f := range q.flows {
		for _, c := range f.heads(q.headStart()) {
			if blocked[c.w] || (longFull && !c.Urgent()) {
				continue
			}
			if !found || less(c, first) {
				first, found = c, true
			}
		}
	}
	return first, found
}

// grant gives the slot to the waiter and charges its workspace, except for a
// retry, whose first attempt was charged already. The caller holds mu.
func (q *queue) grant(f *flow, w *waiter, slot *pool.Slot) {
	q.virtualTime = max(q.virtualTime, q.minVirtualTime())
	q.dequeue(f, w)
	if !w.request.retry() {
		f.charge(w, q.owner.longShare())
	}
	q.maxVirtualTime = max(q.maxVirtualTime, f.virtualTime)
	if q.waiting == 0 {
		// No workspace was delayed by what the others used, so the lag between
		// workspaces is cleared.
		q.virtualTime = q.maxVirtualTime
	}
	slot.OnRelease = func(used int64, held time.Duration) { q.recordUse(w, used, held) }
	grantedRequests.Add(1)
	observeWait(w.request.Demand.Urgent, time.Since(w.enqueued))
	w.outcome <- outcome{slot: slot}
}

// minVirtualTime returns the least virtual time of the flows with waiters, or 0
// if no flow has one. The caller holds mu.
func (q *queue) minVirtualTime() float64 {
	found := false
	var lowest float64
	for _, f := range q.flows {
		if !f.idle() && (!found || f.virtualTime < lowest) {
			found, lowest = true, f.virtualTime
		}
	}
	return lowest
}

// recordUse is called when a slot is released. It updates the turnover estimate
// and replaces the estimated cost in the workspace's virtual time by the tokens
// used, if they are known.
func (q *queue) recordUse(w *waiter, used int64, held time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.turnover.add(w.cost, held)
	f, ok := q.flows[w.request.Workspace]
	if !ok || used <= 0 || w.request.retry() {
		return
	}
	f.virtualTime += (float64(used) - w.cost) / f.weight
	q.dropIfUnused(f)
}

// dequeue removes a waiter from the queue. The caller holds mu.
func (q *queue) dequeue(f *flow, w *waiter) {
	f.remove(w)
	q.waiting--
	waitingRequests.Add(-1)
}

// dropIfUnused deletes a flow that has no waiters and whose virtual time is not
// ahead of the queue's, so that it has used nothing beyond its share. The caller
// holds mu.
func (q *queue) dropIfUnused(f *flow) {
	if f.idle() && f.virtualTime <= q.virtualTime {
		delete(q.flows, f.workspace)
	}
}

// refuse removes a waiter and delivers a refusal to it. The caller holds mu.
func (q *queue) refuse(f *flow, w *waiter, code string, wait time.Duration, message string) {
	q.dequeue(f, w)
	refusedRequests.Add(1)
	w.outcome <- outcome{refusal: unavailable(code, retryAfter(wait, w.arrival), message)}
}

// cancelWait removes a waiter whose context has ended. It releases a slot that
// was granted concurrently.
func (q *queue) cancelWait(w *waiter) {
	q.mu.Lock()
	if w.element != nil {
		q.dequeue(q.flows[w.request.Workspace], w)
		cancelledRequests.Add(1)
	}
	q.mu.Unlock()
	select {
	case o := <-w.outcome:
		if o.slot != nil {
			o.slot.Release()
		}
	default:
	}
}

// sweep grants free slots, refuses the waiters whose expected wait has grown too
// long, and drops unused flows.
func (q *queue) sweep() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.grantSlots()
	for _, f := range q.flows {
		q.shed(f, true)
		q.shed(f, false)
		q.dropIfUnused(f)
	}
}

// shed refuses waiters from the back of a class until the expected wait of the
// last one is within its tolerance. The caller holds mu.
func (q *queue) shed(f *flow, urgent bool) {
	class := f.class(urgent)
	for e := class.Back(); e != nil; e = class.Back() {
		w := e.Value.(*waiter)
		backlog := f.longBacklog
		if urgent {
			backlog = f.urgentBacklog
		}
		wait := q.expectedWait(f, w, backlog-w.cost)
		if float64(wait) <= shedTolerance*float64(q.maxWait(w)) {
			return
		}
		q.refuse(f, w, codeOverloaded, wait, "the wait for a target has become too long")
	}
}

func (q *queue) slots(req pool.Requirements) int { return q.owner.Slots(req) }

func (q *queue) headStart() float64 { return float64(q.owner.headStart()) }
