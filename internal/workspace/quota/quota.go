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
	// refusalCode is the error code of all refusals.
	refusalCode = "rate_limited"
	// concurrencyRetryAfter is the retry delay if too many requests are in flight.
	concurrencyRetryAfter = time.Second
)

// Limiter enforces the limits of all workspaces on this router. It is safe for concurrent use.
type Limiter struct {
	// Routers returns the number of routers that are considered alive, including this one.
	// Rate limits are divided by it; values below 1 count as 1.
	Routers func() int

	seedOnce sync.Once
	seed     maphash.Seed
	shards   [shardCount]shard
}

// shard holds the usage of the workspaces whose names hash to it.
type shard struct {
	mu    sync.Mutex        // guards usage and its values
	usage map[string]*usage // by workspace name
}

// usage is the usage of one workspace on this router.
type usage struct {
	requests bucket
	tokens   bucket
	inFlight int64 // number of admitted requests that have not ended
}

// Admit admits a request of the workspace for the number of tokens and returns nil, or
// returns the refusal and counts nothing. Release must be called at the end of each admitted
// request.
func (l *Limiter) Admit(w catalogue.Workspace, tokens int64) *answer.Error {
	routers := 1
	if w.RequestsPerMinute > 0 || w.TokensPerMinute > 0 {
		routers = max(l.Routers(), 1)
	}
	now := time.Now()
	s := l.shard(w.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.usageOf(w.Name)
	if w.MaxConcurrent > 0 && u.inFlight >= w.MaxConcurrent {
		return answer.Retryable(fasthttp.StatusTooManyRequests, refusalCode, concurrencyRetryAfter, "workspace %q has %d requests in flight on this router, as many as it may", w.Name, u.inFlight)
	}
	u.requests.refill(w.RequestsPerMinute, routers, now)
	u.tokens.refill(w.TokensPerMinute, routers, now)
	if wait := u.requests.wait(1); wait > 0 {
		return answer.Retryable(fasthttp.StatusTooManyRequests, refusalCode, wait, "workspace %q has sent this router its share of %d requests per minute", w.Name, w.RequestsPerMinute)
	}
	if wait := u.tokens.wait(tokens); wait > 0 {
		return answer.Retryable(fasthttp.StatusTooManyRequests, refusalCode, wait, "workspace %q has asked this router for its share of %d tokens per minute", w.Name, w.TokensPerMinute)
	}
	u.requests.take(1)
	u.tokens.take(tokens)
	u.inFlight++
	return nil
}

// Release records the end of a request that Admit has admitted.
func (l *Limiter) Release(workspace string) {
	s := l.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usageOf(workspace).inFlight--
}

// shard returns the shard of the workspace.
func (l *Limiter) shard(workspace string) *shard {
	l.seedOnce.Do(func() { l.seed = maphash.MakeSeed() })
	return &l.shards[maphash.String(l.seed, workspace)%shardCount]
}

// usageOf returns the usage of the workspace, which it creates if necessary. The caller holds mu.
func (s *shard) usageOf(workspace string) *usage {
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
