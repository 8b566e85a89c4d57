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

const defaultHomeRetention = 5 * time.Minute

// Homes finds the run of a key among all routers. Each key has a home, the
// router that rendezvous hashing gives it among those believed alive; the home
// remembers which router has begun the run.
//
// It is a hint: views differ, homes die, and then two routers may run a key. The
// bill's key and the claim in the table hold all the same.
type Homes struct {
	// Self describes this router.
	Self func() inner.Member
	// Members lists the routers of this router's view, itself among them.
	Members func() []inner.Member
	// Call sends an inner message to an address.
	Call func(ctx context.Context, addr, method string, in, out any) error
	// Retention is the shortest time that a home remembers a run.
	Retention time.Duration

	shards [shardCount]homeShard
}

// homeShard is the part of the remembered runs whose keys hash to it.
type homeShard struct {
	mu      sync.Mutex // guards the fields below
	current map[Key]inner.Run
	earlier map[Key]inner.Run // dropped at the next turn
	turned  time.Time
}

// Begin announces a run and returns the run that the key has: this one, or an
// earlier one at another router.
func (h *Homes) Begin(ctx context.Context, begin inner.RunBegin) (inner.Run, error) {
	home := h.home(begin.Run)
	if home.ID == h.Self().ID {
		return h.begin(begin), nil
	}
	var ack inner.RunBeginAck
	if err := h.Call(ctx, home.InnerAddr, inner.MethodRunBegin, begin, &ack); err != nil {
		return inner.Run{}, fmt.Errorf("announce run: %w", err)
	}
	return ack.Run, nil
}

// Place tells the home where the run is now.
func (h *Homes) Place(ctx context.Context, run inner.Run) error {
	return h.tell(ctx, inner.MethodRunPlace, run, h.place)
}

// End tells the home to forget the run.
func (h *Homes) End(ctx context.Context, run inner.Run) error {
	return h.tell(ctx, inner.MethodRunEnd, run, h.end)
}

func (h *Homes) tell(ctx context.Context, method string, run inner.Run, here func(inner.Run)) error {
	home := h.home(run)
	if home.ID == h.Self().ID {
		here(run)
		return nil
	}
	if err := h.Call(ctx, home.InnerAddr, method, run, &inner.RunAck{}); err != nil {
		return fmt.Errorf("tell home of run: %w", err)
	}
	return nil
}

// HandleBegin answers MethodRunBegin.
func (h *Homes) HandleBegin(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.RunBegin
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode run: %w", err)
	}
	return inner.RunBeginAck{Run: h.begin(in)}, nil
}

// HandlePlace answers MethodRunPlace.
func (h *Homes) HandlePlace(_ context.Context, params json.RawMessage) (any, error) {
	return handleRun(params, h.place)
}

// HandleEnd answers MethodRunEnd.
func (h *Homes) HandleEnd(_ context.Context, params json.RawMessage) (any, error) {
	return handleRun(params, h.end)
}

func handleRun(params json.RawMessage, apply func(inner.Run)) (any, error) {
	var run inner.Run
	if err := json.Unmarshal(params, &run); err != nil {
		return nil, fmt.Errorf("decode run: %w", err)
	}
	apply(run)
	return inner.RunAck{}, nil
}

// home returns the live router with the highest hash for the key.
func (h *Homes) home(run inner.Run) inner.Member {
	best := h.Self()
	var bestHash uint64
	for _, m := range h.Members() {
		if m.State != inner.Alive {
			continue
		}
		if hash := rendezvous(run, m.ID); hash > bestHash {
			best, bestHash = m, hash
		}
	}
	return best
}

// rendezvous hashes the key for a member, alike on every router.
func rendezvous(run inner.Run, member string) uint64 {
	f := fnv.New64a()
	for _, part := range []string{run.Workspace, run.Key, member} {
		_, _ = f.Write([]byte(part))
		_, _ = f.Write([]byte{0})
	}
	x := f.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd // spreads the last byte over all bits
	return x ^ x>>33
}

func (h *Homes) begin(in inner.RunBegin) inner.Run {
	s, key := h.shard(in.Run)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(h.Retention)
	if known, ok := s.find(key); ok && known.RunID != in.Replaces {
		return known
	}
	s.current[key] = in.Run
	return in.Run
}

func (h *Homes) place(run inner.Run) {
	s, key := h.shard(run)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(h.Retention)
	if known, ok := s.find(key); !ok || known.RunID == run.RunID {
		s.current[key] = run
	}
}

func (h *Homes) end(run inner.Run) {
	s, key := h.shard(run)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(h.Retention)
	if known, ok := s.find(key); ok && known.RunID == run.RunID {
		delete(s.current, key)
		delete(s.earlier, key)
	}
}

func (h *Homes) shard(run inner.Run) (*homeShard, Key) {
	key := Key{Workspace: run.Workspace, Request: run.Key}
	return &h.shards[rendezvous(run, "")%shardCount], key
}

// find returns the run of the key. The caller holds mu.
func (s *homeShard) find(key Key) (inner.Run, bool) {
	if run, ok := s.current[key]; ok {
		return run, true
	}
	run, ok := s.earlier[key]
	return run, ok
}

// turn drops runs that are older than the retention. The caller holds mu.
func (s *homeShard) turn(retention time.Duration) {
	if retention == 0 {
		retention = defaultHomeRetention
	}
	now := time.Now()
	if s.current != nil && now.Sub(s.turned) < retention {
		return
	}
	s.earlier = s.current
	s.current = make(map[Key]inner.Run)
	s.turned = now
}
