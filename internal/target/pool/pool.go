package pool

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"

	"rosevalve/internal/target/balance"
	"rosevalve/internal/target/health"
	"rosevalve/internal/workspace/catalogue"
)

const (
	defaultLoadBound  = 1.25
	defaultSubset     = 16
	defaultReserve    = 0.2
	defaultPatience   = 2 * time.Second
	defaultMostActive = 512
)

// ErrNoTarget reports that no target is left for a request.
var ErrNoTarget = errors.New("no target available")

// ErrNoRoom reports that the targets for a request have no free place now.
var ErrNoRoom = errors.New("no free place at any target")

// Demand is what a request asks of a target.
type Demand struct {
	// Model is the model of a request for an engine.
	Model string
	// Service is the name of a plain service, if the request is for one.
	Service string
	// Urgent requests may use the places that long ones leave free.
	Urgent bool
	// Tokens is the most that the request can use.
	Tokens int64
	// Prefix identifies the beginning of the prompt, or is zero.
	Prefix uint64
	// Exclude holds the addresses that the request has been sent to.
	Exclude map[string]bool
}

// Pool holds the targets in force.
type Pool struct {
	// Self names this router.
	Self string
	// Position returns this router's place among all routers, if it is known.
	Position func() (index, count int)
	// Goals bound the learnt limit of each target.
	Goals health.Goals
	// Reserve is the share of each target's limit that long requests leave free.
	Reserve float64
	// NoReserve lets long requests take every place.
	NoReserve bool
	// Subset is the most targets of one model that this router uses.
	Subset int
	// LoadBound is how far above the mean load a target may be and still be chosen for its cached prefix.
	LoadBound float64
	// NoAffinity switches the choice by prefix off.
	NoAffinity bool
	// Patience is the time without an event after which a busy engine is avoided.
	Patience time.Duration
	// Choose picks one of the candidates; the default is bounded affinity, then two choices.
	Choose func(prefix uint64, cost float64, candidates []balance.Candidate) int
	// OnRoom is called when a target that serves the models or the service may have room.
	OnRoom func(models []string, service string)
	// Probe asks an ejected target whether it answers.
	Probe func(t catalogue.Target) error

	index atomic.Pointer[index]

	mu        sync.Mutex // guards the fields below, and orders updates of index
	vmLeaving map[string]bool
	latest    []catalogue.Target
}

// Update takes over the targets of a configuration.
func (p *Pool) Update(s *catalogue.Snapshot) { p.Set(s.Targets()) }

// Set takes over the targets.
func (p *Pool) Set(targets []catalogue.Target) {
	p.mu.Lock()
	p.latest = targets
	p.rebuild()
	p.mu.Unlock()
	p.allRoom()
}

// Rebalance computes the subsets again after this router's position changed.
func (p *Pool) Rebalance() {
	p.mu.Lock()
	p.rebuild()
	p.mu.Unlock()
	p.allRoom()
}

// SetLeaving takes over which VMs are leaving, by IP address or by address and port.
func (p *Pool) SetLeaving(vms map[string]bool) {
	p.mu.Lock()
	p.vmLeaving = vms
	current := p.current()
	for addr, t := range current.all {
		t.mu.Lock()
		t.vmLeaving = vmLeaves(vms, addr)
		t.mu.Unlock()
	}
	p.mu.Unlock()
	p.allRoom()
}

func vmLeaves(vms map[string]bool, addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	return vms[addr] || (err == nil && vms[host])
}

// rebuild replaces the index. The caller holds mu.
func (p *Pool) rebuild() {
	old := p.current()
	all := make(map[string]*target, len(p.latest))
	for _, info := range p.latest {
		t, ok := old.all[info.Addr]
		if !ok {
			t = p.newTarget(info.Addr)
		}
		t.mu.Lock()
		t.info = info
		t.reserve = p.reserve()
		t.vmLeaving = vmLeaves(p.vmLeaving, info.Addr)
		t.mu.Unlock()
		all[info.Addr] = t
	}
	p.index.Store(newIndex(all, p.latest, p.position(), p.subset()))
}

func (p *Pool) newTarget(addr string) *target {
	return &target{
		addr:     addr,
		hash:     balance.Hash(addr),
		workers:  pond.NewPool(p.mostActive(), pond.WithNonBlocking(true)),
		limit:    health.NewLimit(p.Goals),
		progress: health.Progress{Patience: p.patience()},
	}
}

func (p *Pool) current() *index {
	if i := p.index.Load(); i != nil {
		return i
	}
	return &index{}
}

// Engines returns the addresses of the engines that this router uses.
func (p *Pool) Engines() []string { return p.current().engines() }

func (p *Pool) find(addr string) *target { return p.current().all[addr] }

func (p *Pool) position() balance.Position {
	at := balance.Position{Self: p.Self}
	if p.Position != nil {
		at.Index, at.Count = p.Position()
	}
	return at
}

// room tells that a target may have room.
func (p *Pool) room(t *target) {
	if p.OnRoom == nil {
		return
	}
	info := t.served()
	p.OnRoom(info.Models, info.Service)
}

func (p *Pool) allRoom() {
	if p.OnRoom == nil {
		return
	}
	models, services := p.current().names()
	p.OnRoom(models, "")
	for _, s := range services {
		p.OnRoom(nil, s)
	}
}

// ejected counts an ejection and tells those who wait that there is less to wait for.
func (p *Pool) ejected(t *target) {
	ejections.Add(1)
	p.room(t)
}

func (p *Pool) mostActive() int {
	if p.Goals.Most == 0 {
		return defaultMostActive
	}
	return p.Goals.Most
}

func (p *Pool) reserve() float64 {
	switch {
	case p.NoReserve:
		return 0
	case p.Reserve == 0:
		return defaultReserve
	default:
		return p.Reserve
	}
}

func (p *Pool) subset() int {
	if p.Subset == 0 {
		return defaultSubset
	}
	return p.Subset
}

func (p *Pool) patience() time.Duration {
	if p.Patience == 0 {
		return defaultPatience
	}
	return p.Patience
}

func (p *Pool) loadBound() float64 {
	switch {
	case p.NoAffinity:
		return 0
	case p.LoadBound == 0:
		return defaultLoadBound
	default:
		return p.LoadBound
	}
}
