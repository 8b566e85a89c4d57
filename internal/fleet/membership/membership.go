package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"rosevalve/internal/protocol/inner"
)

const (
	fanOut          = 3
	defaultInterval = 500 * time.Millisecond
	defaultSuspect  = 3 * time.Second
	defaultForget   = 30 * time.Second
)

// View is what this router believes of the fleet.
type View struct {
	// Seeds are the inner addresses that are asked while nobody is known.
	Seeds []string
	// Interval is the time between heartbeats.
	Interval time.Duration
	// SuspectAfter is how long a router may be silent before it is suspected.
	SuspectAfter time.Duration
	// ForgetAfter is how long a router may be silent before it is dropped.
	ForgetAfter time.Duration
	// Call sends an inner message to an address.
	Call func(ctx context.Context, addr, method string, in, out any) error

	mu      sync.Mutex // guards the fields below
	self    inner.Member
	members map[string]*seen
}

// seen is a member with the time of its newest statement.
type seen struct {
	member inner.Member
	at     time.Time
}

// Join sets this router's own entry; it must come before Run.
func (v *View) Join(self inner.Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.self = self
	v.members = make(map[string]*seen)
}

// Self returns this router's own entry.
func (v *View) Self() inner.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.self
}

// Leave announces that this router takes no new callers.
func (v *View) Leave() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.self.State = inner.Leaving
	v.self.Counter++
}

// Run sends heartbeats until ctx ends.
func (v *View) Run(ctx context.Context) error {
	interval := v.Interval
	if interval == 0 {
		interval = defaultInterval
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		v.beat(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (v *View) beat(ctx context.Context) {
	v.mu.Lock()
	v.self.Counter++
	v.expire(time.Now())
	v.mu.Unlock()
	var wait sync.WaitGroup
	for _, addr := range v.pick() {
		wait.Go(func() { v.exchange(ctx, addr) })
	}
	wait.Wait()
}

func (v *View) exchange(ctx context.Context, addr string) {
	var ack inner.HeartbeatAck
	if err := v.Call(ctx, addr, inner.MethodHeartbeat, inner.Heartbeat{Members: v.statements()}, &ack); err != nil {
		return
	}
	v.merge(ack.Members)
}

// HandleHeartbeat answers a peer's heartbeat.
func (v *View) HandleHeartbeat(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.Heartbeat
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode heartbeat: %w", err)
	}
	v.merge(in.Members)
	return inner.HeartbeatAck{Members: v.statements()}, nil
}

// pick returns the addresses for one round of heartbeats.
func (v *View) pick() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var addrs []string
	for _, s := range v.members {
		addrs = append(addrs, s.member.InnerAddr)
	}
	if len(addrs) < fanOut {
		for _, a := range v.Seeds {
			if a != v.self.InnerAddr && !slices.Contains(addrs, a) {
				addrs = append(addrs, a)
			}
		}
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(fanOut, len(addrs))]
}

// statements returns this router's entry and all that it has heard of.
func (v *View) statements() []inner.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := []inner.Member{v.self}
	for _, s := range v.members {
		out = append(out, s.member)
	}
	return out
}

// merge takes over statements that are newer than those known.
func (v *View) merge(members []inner.Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	for _, m := range members {
		if m.ID == v.self.ID {
			continue
		}
		known, ok := v.members[m.ID]
		if ok && known.member.Counter >= m.Counter {
			continue
		}
		v.members[m.ID] = &seen{member: m, at: now}
	}
}

// expire drops routers that have been silent for long. The caller holds mu.
func (v *View) expire(now time.Time) {
	forget := v.ForgetAfter
	if forget == 0 {
		forget = defaultForget
	}
	for id, s := range v.members {
		if now.Sub(s.at) > forget {
			delete(v.members, id)
		}
	}
}

// Members returns this router and the others with their believed states, ordered by id.
func (v *View) Members() []inner.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	suspect := v.SuspectAfter
	if suspect == 0 {
		suspect = defaultSuspect
	}
	now := time.Now()
	out := []inner.Member{v.self}
	for _, s := range v.members {
		m := s.member
		if m.State == inner.Alive && now.Sub(s.at) > suspect {
			m.State = inner.Suspect
		}
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b inner.Member) int { return strings.Compare(a.ID, b.ID) })
	return out
}
