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
	defaultHeadStart  = 20_000 // tokens
	defaultLongShare  = 0.1    // of a workspace's tokens
	sweepInterval     = 100 * time.Millisecond
	minRetryAfter     = 100 * time.Millisecond

	// Error codes of refusals.
	codeOverloaded = "overloaded"
	codeNoTarget   = "no_target"
)

// Queues holds one queue for each model and plain service. The exported fields
// are set before the first call. Pick and Slots are required; a zero duration,
// HeadStart or LongShare selects its default.
type Queues struct {
	// Pick reserves a slot. Its errors are those of pool.Pool.Reserve.
	Pick func(req pool.Requirements) (*pool.Slot, error)
	// Slots returns the number of requests that the targets for the requirements can
	// have outstanding at a time.
	Slots func(req pool.Requirements) int
	// ProbeDelay returns the time until the next probe of an ejected target for the
	// requirements. It may be nil.
	ProbeDelay func(req pool.Requirements) time.Duration
	// MaxUrgentWait is the longest expected wait at which an urgent request is queued.
	MaxUrgentWait time.Duration
	// MaxLongWait is the longest expected wait at which a long request is queued.
	MaxLongWait time.Duration
	// HeadStart is the head start of urgent requests over other workspaces, in tokens.
	HeadStart int64
	// LongShare is the fraction of a workspace's tokens that its long requests get
	// while it also has urgent requests waiting.
	LongShare float64
	// Less reports whether a gets a slot before b; the default is FairOrder.
	Less func(a, b Candidate) bool

	mu     sync.RWMutex // guards byName
	byName map[string]*queue
}

// Acquire waits until the request gets a slot, is refused, or ctx ends. A request
// whose expected wait is too long is refused without waiting.
func (q *Queues) Acquire(ctx context.Context, r Request) (*pool.Slot, *answer.Error) {
	queue := q.queueFor(r.Demand)
	w, refusal := queue.enqueue(ctx, r)
	if refusal != nil {
		return nil, refusal
	}
	select {
	case o := <-w.outcome:
		return o.slot, o.refusal
	case <-ctx.Done():
		queue.cancelWait(w)
		return nil, &answer.Error{
			Status:     fasthttp.StatusServiceUnavailable,
			Code:       "cancelled",
			Message:    "the request was cancelled while it waited for a target",
			RetryAfter: time.Second,
		}
	}
}

// Run sweeps all queues periodically until ctx ends, and returns nil.
func (q *Queues) Run(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			q.sweep()
		}
	}
}

// sweep sweeps each queue without holding mu, so that Acquire is not blocked.
func (q *Queues) sweep() {
	q.mu.RLock()
	all := make([]*queue, 0, len(q.byName))
	for _, entry := range q.byName {
		all = append(all, entry)
	}
	q.mu.RUnlock()
	for _, entry := range all {
		entry.sweep()
	}
}

// GrantFreed grants slots that may have become free at targets of the models or of the
// service. It is the pool's OnFreeSlot callback.
func (q *Queues) GrantFreed(models []string, service string) {
	for _, m := range models {
		q.grantSlots(pool.Requirements{Model: m})
	}
	if service != "" {
		q.grantSlots(pool.Requirements{Service: service})
	}
}

// grantSlots grants free slots in the queue for the requirements, if it exists.
func (q *Queues) grantSlots(req pool.Requirements) {
	q.mu.RLock()
	entry := q.byName[queueName(req)]
	q.mu.RUnlock()
	if entry == nil {
		return
	}
	entry.mu.Lock()
	defer entry.mu.Unlock()
	entry.grantSlots()
}

// queueFor returns the queue for the requirements, creating it if necessary.
func (q *Queues) queueFor(req pool.Requirements) *queue {
	name := queueName(req)
	q.mu.RLock()
	entry, ok := q.byName[name]
	q.mu.RUnlock()
	if ok {
		return entry
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if entry, ok := q.byName[name]; ok {
		return entry
	}
	if q.byName == nil {
		q.byName = make(map[string]*queue)
	}
	entry = &queue{owner: q, name: name, flows: make(map[string]*flow)}
	q.byName[name] = entry
	return entry
}

// queueName returns the name of the queue for the requirements, which State reports.
func queueName(req pool.Requirements) string {
	if req.Service != "" {
		return "service " + req.Service
	}
	return "model " + req.Model
}

// unavailable returns a 503 answer for a request that did not run, with a
// Retry-After of at least minRetryAfter.
func unavailable(code string, wait time.Duration, message string) *answer.Error {
	return answer.Retryable(fasthttp.StatusServiceUnavailable, code, max(wait, minRetryAfter), "%s", message)
}

// probeDelay returns the time after which a request that no target can serve may
// be retried: the next probe of an ejected target, or a second if none is due.
func (q *Queues) probeDelay(req pool.Requirements) time.Duration {
	if q.ProbeDelay != nil {
		if wait := q.ProbeDelay(req); wait > 0 {
			return wait
		}
	}
	return time.Second
}

func (q *Queues) less() func(a, b Candidate) bool {
	if q.Less == nil {
		return FairOrder
	}
	return q.Less
}

func (q *Queues) urgentWait() time.Duration { return durationOr(q.MaxUrgentWait, defaultUrgentWait) }

func (q *Queues) longWait() time.Duration { return durationOr(q.MaxLongWait, defaultLongWait) }

func (q *Queues) headStart() int64 {
	if q.HeadStart == 0 {
		return defaultHeadStart
	}
	return q.HeadStart
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
