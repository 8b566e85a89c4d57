package register

import (
	"context"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/request/stream"
)

const (
	shardCount       = 64
	defaultRetention = 2 * time.Minute
)

// ErrKeyReused reports that a key came with a different request before.
var ErrKeyReused = errors.New("idempotency key reused with a different request")

// Key names a request of a workspace.
type Key struct {
	Workspace string
	Request   string
}

// Run is one request that this router has taken on.
type Run struct {
	key      Key
	id       string
	bodyHash uint64
	began    time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	log      stream.Log

	following atomic.Bool // reads along at another router
}

// ID returns the id of the run.
func (r *Run) ID() string { return r.id }

// Key returns the workspace and the idempotency key.
func (r *Run) Key() Key { return r.key }

// BodyHash identifies what was requested.
func (r *Run) BodyHash() uint64 { return r.bodyHash }

// Began returns when the run was registered.
func (r *Run) Began() time.Time { return r.began }

// Context ends when the run is cancelled.
func (r *Run) Context() context.Context { return r.ctx }

// Cancel ends the run's context.
func (r *Run) Cancel() { r.cancel() }

// SetFollowing tells whether the run is read from another router.
func (r *Run) SetFollowing(on bool) { r.following.Store(on) }

// Following reports whether the run is read from another router.
func (r *Run) Following() bool { return r.following.Load() }

// Log returns the run's answer.
func (r *Run) Log() *stream.Log { return &r.log }

// Register holds the runs.
type Register struct {
	// Retention is how long a finished run's answer is kept.
	Retention time.Duration

	once   sync.Once
	seed   maphash.Seed
	shards [shardCount]shard
}

// shard is the part of the runs whose keys hash to it.
type shard struct {
	mu   sync.Mutex // guards runs
	runs map[Key]*Run
}

// Begin returns the run of the key, and whether this call has created it. A run
// that it creates is cancelled after the timeout, unless that is 0.
//
// The error is ErrKeyReused if the run has another body.
func (g *Register) Begin(key Key, id string, bodyHash uint64, timeout time.Duration) (*Run, bool, error) {
	s := g.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.runs[key]; ok {
		if r.bodyHash != bodyHash {
			return nil, false, ErrKeyReused
		}
		r.log.Join()
		return r, false, nil
	}
	r := &Run{key: key, id: id, bodyHash: bodyHash, began: time.Now()}
	if timeout > 0 {
		r.ctx, r.cancel = context.WithTimeout(context.Background(), timeout)
	} else {
		r.ctx, r.cancel = context.WithCancel(context.Background())
	}
	r.log.Join()
	s.runs[key] = r
	return r, true, nil
}

// Find returns the run of the key, whose log the caller has then joined.
//
// The error is ErrKeyReused if the run has another body.
func (g *Register) Find(key Key, bodyHash uint64) (*Run, bool, error) {
	s := g.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.runs[key]
	if !ok {
		return nil, false, nil
	}
	if r.bodyHash != bodyHash {
		return nil, false, ErrKeyReused
	}
	r.log.Join()
	return r, true, nil
}

// Forget removes a run that did not run, so that its key may be tried again.
func (g *Register) Forget(r *Run) {
	s := g.shard(r.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[r.key] == r {
		delete(s.runs, r.key)
	}
}

// Retire forgets the finished run after the retention.
func (g *Register) Retire(r *Run) {
	g.init()
	time.AfterFunc(g.Retention, func() { g.Forget(r) })
}

// Runs returns the runs that are registered.
func (g *Register) Runs() []*Run {
	g.init()
	var out []*Run
	for i := range g.shards {
		s := &g.shards[i]
		s.mu.Lock()
		for _, r := range s.runs {
			out = append(out, r)
		}
		s.mu.Unlock()
	}
	return out
}

func (g *Register) init() {
	g.once.Do(func() {
		g.seed = maphash.MakeSeed()
		if g.Retention == 0 {
			g.Retention = defaultRetention
		}
		for i := range g.shards {
			g.shards[i].runs = make(map[Key]*Run)
		}
	})
}

func (g *Register) shard(key Key) *shard {
	g.init()
	return &g.shards[maphash.Comparable(g.seed, key)%shardCount]
}
