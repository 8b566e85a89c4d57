package queue

import (
	"math"
	"time"
)

const (
	turnoverDecay    = 0.99 // factor applied to the sums at each release
	defaultHold      = time.Second
	maxExpectedWait  = time.Hour
	shedTolerance    = 1.5 // a queued request is refused only beyond this multiple of maxWait
	retryJitterSteps = 8
	retryJitterScale = 16
)

// turnover estimates how fast slots are used and released, from exponentially
// decayed sums over the requests that released theirs.
type turnover struct {
	tokens      float64
	heldSeconds float64
	requests    float64
}

// add records a released slot: the estimated cost of its request in tokens, and how
// long it was held.
func (t *turnover) add(cost float64, held time.Duration) {
	t.tokens = t.tokens*turnoverDecay + cost
	t.heldSeconds = t.heldSeconds*turnoverDecay + held.Seconds()
	t.requests = t.requests*turnoverDecay + 1
}

// estimate returns the throughput of one slot in tokens per second and the mean
// tokens of a request. Before the first release it assumes that each request uses
// cost tokens and holds its slot for defaultHold.
func (t *turnover) estimate(cost float64) (rate, mean float64) {
	if t.requests == 0 || t.heldSeconds == 0 {
		return cost / defaultHold.Seconds(), cost
	}
	return t.tokens / t.heldSeconds, t.tokens / t.requests
}

// expectedWait estimates how long the waiter will wait if ownAhead tokens of its
// own workspace and class are ahead of it. It returns at most maxExpectedWait, also
// if there is no slot at all. The caller holds mu.
func (q *queue) expectedWait(f *flow, w *waiter, ownAhead float64) time.Duration {
	slots := q.slots(w.request.Demand)
	if slots == 0 {
		return maxExpectedWait
	}
	rate, mean := q.turnover.estimate(max(1, w.cost))
	ahead := q.tokensAhead(f, w.request.Demand.Urgent, ownAhead)
	seconds := (ahead + mean) / (rate * float64(slots))
	return time.Duration(math.Min(seconds, maxExpectedWait.Seconds()) * float64(time.Second))
}

// tokensAhead returns the tokens of the waiting requests, of all workspaces, that
// will be granted before a request of the flow and class. The caller holds mu.
func (q *queue) tokensAhead(f *flow, urgent bool, ownAhead float64) float64 {
	before := ownAhead
	if !urgent {
		before += f.urgentBacklog
	}
	sum := before
	tag := f.virtualTime + before/f.weight
	for _, other := range q.flows {
		if other == f || other.idle() {
			continue
		}
		urgentTag, longTag := tag, tag
		if urgent {
			longTag -= q.headStart() / f.weight
		} else {
			urgentTag += q.headStart() / other.weight
		}
		urgentPart := grantedBefore(other, urgentTag, other.urgentBacklog)
		sum += urgentPart
		sum += max(0, grantedBefore(other, longTag, other.longBacklog+urgentPart)-urgentPart)
	}
	return sum
}

// grantedBefore returns the part of the backlog, in tokens, that the workspace is
// granted before its virtual time reaches the tag.
func grantedBefore(f *flow, tag, backlog float64) float64 {
	return min(backlog, max(0, tag-f.virtualTime)*f.weight)
}

// maxWait returns the longest expected wait at which the request is queued: the
// limit of its class, or the time until its deadline if that is shorter.
func (q *queue) maxWait(w *waiter) time.Duration {
	bound := q.owner.longWait()
	if w.request.Demand.Urgent {
		bound = q.owner.urgentWait()
	}
	if !w.deadline.IsZero() {
		bound = min(bound, time.Until(w.deadline))
	}
	return bound
}

// retryAfter adds up to 7/16 of the wait to it, varying with the arrival number, so
// that refused callers don't all retry at the same moment.
func retryAfter(wait time.Duration, arrival uint64) time.Duration {
	return wait + wait*time.Duration(arrival%retryJitterSteps)/retryJitterScale
}
