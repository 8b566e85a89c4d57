package queue

import (
	"math"
	"time"
)

const (
	rateMemory     = 0.99 // weight that older completions keep at each new one
	firstHold      = time.Second
	endlessWait    = time.Hour
	shedTolerance  = 1.5 // a request that was let in is refused later only beyond this multiple of its bound
	retrySpread    = 8
	retrySpreadAll = 16
)

// speed estimates how fast places turn over, from the requests that gave theirs back.
type speed struct {
	cost float64 // tokens
	hold float64 // seconds
	n    float64 // requests
}

func (s *speed) add(cost float64, held time.Duration) {
	s.cost = s.cost*rateMemory + cost
	s.hold = s.hold*rateMemory + held.Seconds()
	s.n = s.n*rateMemory + 1
}

// perPlace returns the tokens that one place serves in a second, and the tokens of a request.
func (s *speed) perPlace(cost float64) (rate, mean float64) {
	if s.n == 0 || s.hold == 0 {
		return cost / firstHold.Seconds(), cost
	}
	return s.cost / s.hold, s.cost / s.n
}

// expected returns how long a request would wait that has ownAhead tokens of its workspace and class before it.
func (q *line) expected(f *flow, w *waiter, ownAhead float64) time.Duration {
	places := q.places(w.ticket.Demand)
	if places == 0 {
		return endlessWait
	}
	rate, mean := q.speed.perPlace(max(1, w.cost))
	ahead := q.ahead(f, w.ticket.Demand.Urgent, ownAhead)
	seconds := (ahead + mean) / (rate * float64(places))
	return time.Duration(math.Min(seconds, endlessWait.Seconds()) * float64(time.Second))
}

// ahead returns the waiting tokens that are granted before a request.
func (q *line) ahead(f *flow, urgent bool, ownAhead float64) float64 {
	before := ownAhead
	if !urgent {
		before += f.urgentBacklog
	}
	sum := before
	tag := f.virtual + before/f.weight
	for _, other := range q.flows {
		if other == f || other.idle() {
			continue
		}
		urgentTag, longTag := tag, tag
		if urgent {
			longTag -= q.warp() / f.weight
		} else {
			urgentTag += q.warp() / other.weight
		}
		early := share(other, urgentTag, other.urgentBacklog)
		sum += early
		sum += max(0, share(other, longTag, other.longBacklog+early)-early)
	}
	return sum
}

// share returns the tokens of the backlog that the workspace is granted before its virtual time reaches the tag.
func share(f *flow, tag, backlog float64) float64 {
	return min(backlog, max(0, tag-f.virtual)*f.weight)
}

// bound returns the longest expected wait with which the request is let in.
func (q *line) bound(w *waiter) time.Duration {
	bound := q.owner.longWait()
	if w.ticket.Demand.Urgent {
		bound = q.owner.urgentWait()
	}
	if !w.deadline.IsZero() {
		bound = min(bound, time.Until(w.deadline))
	}
	return bound
}

// retryAfter spreads the callers that come back after a wait.
func retryAfter(wait time.Duration, number uint64) time.Duration {
	return wait + wait*time.Duration(number%retrySpread)/retrySpreadAll
}
