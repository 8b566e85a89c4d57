package pool

import (
	"math/rand/v2"
	"sync"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"

	"rosevalve/internal/workspace/catalogue"
)

const defaultConcurrency = 256

// ErrNoTarget reports that no target is left for a request.
var ErrNoTarget = errors.New("no target available")

// Target is one model engine or plain service.
type Target struct {
	addr    string
	workers pond.Pool

	mu          sync.Mutex // guards the fields below
	info        catalogue.Target
	outstanding int
}

// Addr returns the IP address and port.
func (t *Target) Addr() string { return t.addr }

// Go runs f on one of the target's workers and reports whether one was free.
func (t *Target) Go(f func()) bool {
	t.mu.Lock()
	t.outstanding++
	t.mu.Unlock()
	_, ok := t.workers.TrySubmit(func() {
		defer t.release()
		f()
	})
	if !ok {
		t.release()
	}
	return ok
}

func (t *Target) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outstanding--
}

func (t *Target) snapshot() (catalogue.Target, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.info, t.outstanding
}

// Pool holds the targets in force.
type Pool struct {
	// Concurrency bounds the requests that one target is given at a time.
	Concurrency int

	mu      sync.RWMutex // guards targets
	targets map[string]*Target
}

// Update takes over the targets of a configuration.
func (p *Pool) Update(s *catalogue.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*Target)
	for _, info := range s.Targets() {
		t, ok := p.targets[info.Addr]
		if !ok {
			t = p.newTarget(info.Addr)
		}
		t.mu.Lock()
		t.info = info
		t.mu.Unlock()
		next[info.Addr] = t
	}
	p.targets = next
}

func (p *Pool) newTarget(addr string) *Target {
	n := p.Concurrency
	if n == 0 {
		n = defaultConcurrency
	}
	return &Target{addr: addr, workers: pond.NewPool(n, pond.WithNonBlocking(true), pond.WithQueueSize(0))}
}

// Engine picks a target that serves the model, leaving out those in the set.
func (p *Pool) Engine(model string, exclude map[string]bool) (*Target, error) {
	return p.pick(exclude, func(t catalogue.Target) bool { return t.ServesModel(model) })
}

// Service picks a target of the plain service, leaving out those in the set.
func (p *Pool) Service(name string, exclude map[string]bool) (*Target, error) {
	return p.pick(exclude, func(t catalogue.Target) bool { return t.Service == name })
}

// pick takes the less loaded of two random candidates.
func (p *Pool) pick(exclude map[string]bool, fits func(catalogue.Target) bool) (*Target, error) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var candidates []*Target
	var loads []int
	for addr, t := range p.targets {
		info, outstanding := t.snapshot()
		if exclude[addr] || info.Leaving || !fits(info) {
			continue
		}
		candidates = append(candidates, t)
		loads = append(loads, outstanding)
	}
	if len(candidates) == 0 {
		return nil, ErrNoTarget
	}
	i, j := rand.IntN(len(candidates)), rand.IntN(len(candidates))
	if loads[j] < loads[i] {
		i = j
	}
	return candidates[i], nil
}

// State describes one target for the process's state dump.
type State struct {
	Addr        string `json:"addr"`
	Outstanding int    `json:"outstanding"`
	Leaving     bool   `json:"leaving"`
}

// State returns the targets as they are now.
func (p *Pool) State() []State {
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := make([]State, 0, len(p.targets))
	for addr, t := range p.targets {
		info, outstanding := t.snapshot()
		out = append(out, State{Addr: addr, Outstanding: outstanding, Leaving: info.Leaving})
	}
	return out
}
