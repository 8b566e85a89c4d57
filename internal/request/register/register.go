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

// ErrKeyReused reports that an idempotency key belongs to a run with another body.
var ErrKeyReused = errors.New("idempotency key reused with a different request")

// Key identifies a request across retries.
type Key struct {
	// Workspace is the workspace of the caller.
	Workspace string
	// IdempotencyKey is the idempotency key.
	IdempotencyKey string
}

// Run is the processing of one request at this router, shared by all callers that
// send its key.
type Run struct {
	key      Key
	id       string
	bodyHash uint64
	began    time.Time
	ctx      context.Context
	cancel   context.CancelCauseFunc
	log      stream.Log

	readFromPeer atomic.Bool // whether the answer is read from another router
}

// ID returns the run's id, which was given to FindOrCreate.
func (r *Run) ID() string { return r.id }

// Key returns the workspace and the idempotency key.
func (r *Run) Key() Key { return r.key }

// BodyHash returns the hash that identifies the content of the request.
func (r *Run) BodyHash() uint64 { return r.bodyHash }

// Began returns the time at which the run was registered.
func (r *Run) Began() time.Time { return r.began }

// Context returns the run's context, which ends when the run is cancelled or its
// timeout expires.
func (r *Run) Context() context.Context { return r.ctx }

// Cancel ends the run's context.
func (r *Run) Cancel() { r.cancel(nil) }

// CancelCause ends the run's context with a cause.
func (r *Run) CancelCause(cause error) { r.cancel(cause) }

// SetReadFromPeer sets whether the run's answer is being read from another router.
func (r *Run) SetReadFromPeer(on bool) { r.readFromPeer.Store(on) }

// ReadFromPeer reports whether the run's answer is being read from another router.
func (r *Run) ReadFromPeer() bool { return r.readFromPeer.Load() }

// Log returns the log of the run's answer.
func (r *Run) Log() *stream.Log { return &r.log }

// Registry holds the runs of this router by key.
type Registry struct {
	// Retention is the time for which a finished run is kept; the default is two minutes.
	Retention time.Duration

	once   sync.Once
	seed   maphash.Seed
	shards [shardCount]shard
}

// shard holds the runs whose keys hash to it.
type shard struct {
	mu   sync.Mutex // guards runs
	runs map[Key]*Run
}

// FindOrCreate returns the run of the key and reports whether this call has created it.
// The caller becomes a reader of the run's log and must call its RemoveReader method. A
// new run is cancelled after the timeout; zero means no timeout.
//
// The error is ErrKeyReused if the run of the key has another body hash.
func (reg *Registry) FindOrCreate(key Key, id string, bodyHash uint64, timeout time.Duration) (*Run, bool, error) {
	s := reg.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.runs[key]; ok {
		if r.bodyHash != bodyHash {
			return nil, false, ErrKeyReused
		}
		r.log.AddReader()
		return r, false, nil
	}
	r := &Run{key: key, id: id, bodyHash: bodyHash, began: time.Now()}
	r.ctx, r.cancel = context.WithCancelCause(context.Background())
	if timeout > 0 {
		parent, cancelParent := r.ctx, r.cancel
		ctx, cancelTimer := context.WithTimeout(parent, timeout)
		r.ctx, r.cancel = ctx, func(cause error) {
			cancelParent(cause)
			cancelTimer()
		}
	}
	r.log.AddReader()
	s.runs[key] = r
	return r, true, nil
}

// FindAndJoin returns the run of the key and reports whether there is one. If so, the
// caller becomes a reader of the run's log and must call its RemoveReader method.
//
// The error is ErrKeyReused if the run of the key has another body hash.
func (reg *Registry) FindAndJoin(key Key, bodyHash uint64) (*Run, bool, error) {
	s := reg.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.runs[key]
	if !ok {
		return nil, false, nil
	}
	if r.bodyHash != bodyHash {
		return nil, false, ErrKeyReused
	}
	r.log.AddReader()
	return r, true, nil
}

// Remove removes a run that did not run at a target, or whose retention has ended,
// so that a request with its key starts a new one.
func (reg *Registry) Remove(r *Run) {
	s := reg.shard(r.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[r.key] == r {
		delete(s.runs, r.key)
	}
}

// RemoveAfterRetention removes a finished run after the retention time.
func (reg *Registry) RemoveAfterRetention(r *Run) {
	reg.init()
	time.AfterFunc(reg.Retention, func() { reg.Remove(r) })
}

// Runs returns all registered runs, in no particular order.
func (reg *Registry) Runs() []*Run {
	reg.init()
	var out []*Run
	for i := range reg.shards {
		s := &reg.shards[i]
		s.mu.Lock()
		for _, r := range s.runs {
			out = append(out, r)
		}
		s.mu.Unlock()
	}
	return out
}

// init sets defaults and creates the shards on the first call.
func (reg *Registry) init() {
	reg.once.Do(func() {
		reg.seed = maphash.MakeSeed()
		if reg.Retention == 0 {
			reg.Retention = defaultRetention
		}
		for i := range reg.shards {
			reg.shards[i].runs = make(map[Key]*Run)
		}
	})
}

func (reg *Registry) shard(key Key) *shard {
	reg.init()
	return &reg.shards[maphash.Comparable(reg.seed, key)%shardCount]
}
