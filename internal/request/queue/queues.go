package queue

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/pool"
)

const (
	defaultUrgentWait = 100 * time.Millisecond
	defaultLongWait   = 30 * time.Second
	defaultWarp       = 20_000 // tokens
	defaultLongShare  = 0.1
	reviewInterval    = 100 * time.Millisecond
	leastRetryAfter   = 100 * time.Millisecond

	codeOverloaded = "overloaded"
	codeNoTarget   = "no_target"
)

// Queues holds the queue of each model and plain service.
type Queues struct {
	// Pick reserves a place, with the errors of pool.Pool.
	Pick func(d pool.Demand) (*pool.Place, error)
	// Places returns how many requests are given out at a time.
	Places func(d pool.Demand) int
	// ProbeIn returns when an ejected target is asked again.
	ProbeIn func(d pool.Demand) time.Duration
	// UrgentWait bounds the expected wait of urgent requests.
	UrgentWait time.Duration
	// LongWait bounds the expected wait of long requests.
	LongWait time.Duration
	// Warp is the head start of urgent requests, in tokens.
	Warp int64
	// LongShare is the share of its own tokens that a workspace's long requests get while urgent ones wait.
	LongShare float64
	// Before is the order in which waiters get places; the default is ByTag.
	Before func(a, b Waiting) bool

	mu    sync.RWMutex // guards lines
	lines map[string]*line
}

// Acquire waits for a place for the ticket. A request that would wait too long is
// refused at once.
func (q *Queues) Acquire(ctx context.Context, t Ticket) (*pool.Place, *answer.Error) {
	line := q.line(t.Demand)
	w, refusal := line.enter(ctx, t)
	if refusal != nil {
		return nil, refusal
	}
	select {
	case o := <-w.outcome:
		return o.place, o.refusal
	case <-ctx.Done():
		line.abandon(w)
		return nil, &answer.Error{
			Status:     fasthttp.StatusServiceUnavailable,
			Code:       "cancelled",
			Message:    "the request was cancelled while it waited for a target",
			RetryAfter: time.Second,
		}
	}
}

// Run reviews the queues until ctx ends.
func (q *Queues) Run(ctx context.Context) error {
	tick := time.NewTicker(reviewInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			q.review()
		}
	}
}

func (q *Queues) review() {
	q.mu.RLock()
	lines := make([]*line, 0, len(q.lines))
	for _, l := range q.lines {
		lines = append(lines, l)
	}
	q.mu.RUnlock()
	for _, l := range lines {
		l.review()
	}
}

// Room grants places that have become free for the models or the service.
func (q *Queues) Room(models []string, service string) {
	for _, m := range models {
		q.pump(pool.Demand{Model: m})
	}
	if service != "" {
		q.pump(pool.Demand{Service: service})
	}
}

func (q *Queues) pump(d pool.Demand) {
	q.mu.RLock()
	l := q.lines[lineName(d)]
	q.mu.RUnlock()
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pump()
}

func (q *Queues) line(d pool.Demand) *line {
	name := lineName(d)
	q.mu.RLock()
	l, ok := q.lines[name]
	q.mu.RUnlock()
	if ok {
		return l
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if l, ok := q.lines[name]; ok {
		return l
	}
	if q.lines == nil {
		q.lines = make(map[string]*line)
	}
	l = &line{owner: q, name: name, flows: make(map[string]*flow)}
	q.lines[name] = l
	return l
}

func lineName(d pool.Demand) string {
	if d.Service != "" {
		return "service " + d.Service
	}
	return "model " + d.Model
}

// busy is the refusal of a request that did not run.
func busy(code string, wait time.Duration, message string) *answer.Error {
	return answer.Busy(fasthttp.StatusServiceUnavailable, code, max(wait, leastRetryAfter), "%s", message)
}

func (q *Queues) retryIn(d pool.Demand) time.Duration {
	if q.ProbeIn != nil {
		if wait := q.ProbeIn(d); wait > 0 {
			return wait
		}
	}
	return time.Second
}

func (q *Queues) before() func(a, b Waiting) bool {
	if q.Before == nil {
		return ByTag
	}
	return q.Before
}

func (q *Queues) urgentWait() time.Duration { return durationOr(q.UrgentWait, defaultUrgentWait) }

func (q *Queues) longWait() time.Duration { return durationOr(q.LongWait, defaultLongWait) }

func (q *Queues) warp() int64 {
	if q.Warp == 0 {
		return defaultWarp
	}
	return q.Warp
}

func (q *Queues) longShare() float64 {
	if q.LongShare == 0 {
		return defaultLongShare
	}
	return q.LongShare
}

func durationOr(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}
