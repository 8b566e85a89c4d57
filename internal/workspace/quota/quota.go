package quota

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/workspace/catalogue"
)

const (
	shardCount = 64
	// code is the stable word of all refusals.
	code = "rate_limited"
	// concurrentRetry is when to come back if too many requests are in flight.
	concurrentRetry = time.Second
)

// Quota enforces this router's share of the workspaces' limits.
type Quota struct {
	// Routers returns the number of routers that are believed to be alive.
	Routers func() int

	once   sync.Once
	seed   maphash.Seed
	shards [shardCount]shard
}

// shard is the part of the workspaces whose names hash to it.
type shard struct {
	mu    sync.Mutex // guards usage and what it holds
	usage map[string]*usage
}

// usage is what one workspace uses on this router.
type usage struct {
	requests bucket
	tokens   bucket
	inFlight int64
}

// Take counts a request that asks for the tokens, or refuses it and counts nothing.
// Each counted request must be ended with Done.
func (q *Quota) Take(w catalogue.Workspace, tokens int64) *answer.Error {
	routers := 1
	if w.RequestsPerMinute > 0 || w.TokensPerMinute > 0 {
		routers = max(q.Routers(), 1)
	}
	now := time.Now()
	s := q.shard(w.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.of(w.Name)
	if w.MaxConcurrent > 0 && u.inFlight >= w.MaxConcurrent {
		return answer.Busy(fasthttp.StatusTooManyRequests, code, concurrentRetry, "workspace %q has %d requests in flight on this router, as many as it may", w.Name, u.inFlight)
	}
	u.requests.refill(w.RequestsPerMinute, routers, now)
	u.tokens.refill(w.TokensPerMinute, routers, now)
	if wait := u.requests.wait(1); wait > 0 {
		return answer.Busy(fasthttp.StatusTooManyRequests, code, wait, "workspace %q has sent this router its share of %d requests per minute", w.Name, w.RequestsPerMinute)
	}
	if wait := u.tokens.wait(tokens); wait > 0 {
		return answer.Busy(fasthttp.StatusTooManyRequests, code, wait, "workspace %q has asked this router for its share of %d tokens per minute", w.Name, w.TokensPerMinute)
	}
	u.requests.take(1)
	u.tokens.take(tokens)
	u.inFlight++
	return nil
}

// Done ends a request that Take has counted.
func (q *Quota) Done(workspace string) {
	s := q.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.of(workspace).inFlight--
}

func (q *Quota) shard(workspace string) *shard {
	q.once.Do(func() { q.seed = maphash.MakeSeed() })
	return &q.shards[maphash.String(q.seed, workspace)%shardCount]
}

func (s *shard) of(workspace string) *usage {
	if s.usage == nil {
		s.usage = make(map[string]*usage)
	}
	u, ok := s.usage[workspace]
	if !ok {
		u = &usage{}
		s.usage[workspace] = u
	}
	return u
}
