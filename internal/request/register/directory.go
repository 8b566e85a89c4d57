package register

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"rosevalve/internal/protocol/inner"
)

const defaultDirectoryRetention = 5 * time.Minute

// Directory is this router's part of the directory of runs. Each key has a home router: the
// router with the highest rendezvous hash for it among those in state alive. The
// home router records which router began the run of the key.
//
// The directory is a hint. Membership views differ between routers and home routers fail,
// and then two routers may run the same key. Even then, the bill's idempotency key
// and the claim in the table remain effective.
type Directory struct {
	// Self returns this router.
	Self func() inner.Member
	// Members returns the routers of this router's membership view, including itself.
	Members func() []inner.Member
	// Call calls a method of the inner protocol at an address and decodes the answer into out.
	Call func(ctx context.Context, addr, method string, in, out any) error
	// Retention is the minimum time for which a home router keeps a run; the default is
	// five minutes.
	Retention time.Duration

	shards [shardCount]directoryShard
}

// directoryShard holds the runs whose keys hash to it, in two generations.
type directoryShard struct {
	mu       sync.Mutex // guards the fields below
	current  map[Key]inner.Run
	previous map[Key]inner.Run // previous generation, dropped at the next rotation
	rotated  time.Time         // start of the current generation
}

// Register records a run at the home router of its key and returns the run that it has
// for the key: registration.Run, or an earlier one unless that is registration.Replaces.
func (d *Directory) Register(ctx context.Context, registration inner.RunRegistration) (inner.Run, error) {
	home := d.home(registration.Run)
	if home.ID == d.Self().ID {
		return d.registerLocally(registration), nil
	}
	var ack inner.RunBeginAck
	if err := d.Call(ctx, home.InnerAddr, inner.MethodRunBegin, registration, &ack); err != nil {
		return inner.Run{}, fmt.Errorf("register run at home router: %w", err)
	}
	return ack.Run, nil
}

// UpdateLocation records the current location of the run at the home router of its key,
// unless that has another run for the key.
func (d *Directory) UpdateLocation(ctx context.Context, run inner.Run) error {
	return d.updateHome(ctx, inner.MethodRunUpdate, run, d.updateLocally)
}

// Remove removes the run from the home router of its key.
func (d *Directory) Remove(ctx context.Context, run inner.Run) error {
	return d.updateHome(ctx, inner.MethodRunEnd, run, d.removeLocally)
}

// updateHome applies an update locally if this router is the home router of the run's
// key, and otherwise sends it to the home router.
func (d *Directory) updateHome(ctx context.Context, method string, run inner.Run, applyLocally func(inner.Run)) error {
	home := d.home(run)
	if home.ID == d.Self().ID {
		applyLocally(run)
		return nil
	}
	if err := d.Call(ctx, home.InnerAddr, method, run, &inner.RunAck{}); err != nil {
		return fmt.Errorf("update run at home router: %w", err)
	}
	return nil
}

// HandleRegister handles inner.MethodRunBegin.
func (d *Directory) HandleRegister(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.RunRegistration
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode run: %w", err)
	}
	return inner.RunBeginAck{Run: d.registerLocally(in)}, nil
}

// HandleUpdateLocation handles inner.MethodRunUpdate.
func (d *Directory) HandleUpdateLocation(_ context.Context, params json.RawMessage) (any, error) {
	return handleRun(params, d.updateLocally)
}

// HandleRemove handles inner.MethodRunEnd.
func (d *Directory) HandleRemove(_ context.Context, params json.RawMessage) (any, error) {
	return handleRun(params, d.removeLocally)
}

// handleRun decodes a run from params and passes it to apply.
func handleRun(params json.RawMessage, apply func(inner.Run)) (any, error) {
	var run inner.Run
	if err := json.Unmarshal(params, &run); err != nil {
		return nil, fmt.Errorf("decode run: %w", err)
	}
	apply(run)
	return inner.RunAck{}, nil
}

// home returns the router in state alive with the highest hash for the run's key,
// or this router if there is none.
func (d *Directory) home(run inner.Run) inner.Member {
	best := d.Self()
	var bestHash uint64
	for _, m := range d.Members() {
		if m.State != inner.Alive {
			continue
		}
		if hash := rendezvous(run, m.ID); hash > bestHash {
			best, bestHash = m, hash
		}
	}
	return best
}

// rendezvous returns the hash of the run's key for a member. It is the same on every
// router.
func rendezvous(run inner.Run, member string) uint64 {
	hash := fnv.New64a()
	for _, part := range []string{run.Workspace, run.Key, member} {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	mixed := hash.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd // diffuses the last byte over all bits
	return mixed ^ mixed>>33
}

// registerLocally implements Register at the home router of the key.
func (d *Directory) registerLocally(in inner.RunRegistration) inner.Run {
	s, key := d.shard(in.Run)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(d.Retention)
	if known, ok := s.find(key); ok && known.RunID != in.Replaces {
		return known
	}
	s.current[key] = in.Run
	return in.Run
}

// updateLocally implements UpdateLocation at the home router of the key.
func (d *Directory) updateLocally(run inner.Run) {
	s, key := d.shard(run)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(d.Retention)
	if known, ok := s.find(key); !ok || known.RunID == run.RunID {
		s.current[key] = run
	}
}

// removeLocally implements Remove at the home router of the key.
func (d *Directory) removeLocally(run inner.Run) {
	s, key := d.shard(run)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(d.Retention)
	if known, ok := s.find(key); ok && known.RunID == run.RunID {
		delete(s.current, key)
		delete(s.previous, key)
	}
}

// shard returns the shard and the key of the run.
func (d *Directory) shard(run inner.Run) (*directoryShard, Key) {
	key := Key{Workspace: run.Workspace, IdempotencyKey: run.Key}
	return &d.shards[rendezvous(run, "")%shardCount], key
}

// find returns the run of the key and reports whether there is one. The caller
// holds mu.
func (s *directoryShard) find(key Key) (inner.Run, bool) {
	if run, ok := s.current[key]; ok {
		return run, true
	}
	run, ok := s.previous[key]
	return run, ok
}

// rotate starts a new generation if the current one is older than the retention,
// and drops the previous one. The caller holds mu.
func (s *directoryShard) rotate(retention time.Duration) {
	if retention == 0 {
		retention = defaultDirectoryRetention
	}
	now := time.Now()
	if s.current != nil && now.Sub(s.rotated) < retention {
		return
	}
	s.previous = s.current
	s.current = make(map[Key]inner.Run)
	s.rotated = now
}
