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
	defaultMaxLoadRatio   = 1.25
	defaultSubsetSize     = 16
	defaultUrgentReserve  = 0.2
	defaultSilenceTimeout = 2 * time.Second
	defaultMaxWorkers     = 512 // per target
)

// ErrNoTarget reports that no usable target serves the request.
var ErrNoTarget = errors.New("no target available")

// ErrNoFreeSlot reports that all usable targets for the request are at their limits.
var ErrNoFreeSlot = errors.New("no free place at any target")

// Requirements describes a request to the selection of its target.
type Requirements struct {
	// Model is the requested model, if the request is for an engine.
	Model string
	// Service is the name of the plain service, if the request is for one.
	Service string
	// Urgent requests may use the slots that are reserved for them. Requests that are not
	// urgent count as long.
	Urgent bool
	// Tokens is the maximum number of tokens that the request can use.
	Tokens int64
	// Prefix identifies the beginning of the prompt for cache affinity; zero if unknown.
	Prefix uint64
	// Exclude holds the addresses of the targets that the request was sent to before.
	Exclude map[string]bool
}

// Pool holds the current targets and selects one for each request.
type Pool struct {
	// Self identifies this router. It determines the subsets while the position is unknown.
	Self string
	// Position returns this router's index in the sorted list of routers and their number;
	// the number is zero while the index is unknown. It may be nil.
	Position func() (index, count int)
	// Goals configures the adaptive concurrency limit of each target.
	Goals health.LimitConfig
	// UrgentReserve is the fraction of each target's limit that long requests may not use;
	// 0 selects the default of 0.2.
	UrgentReserve float64
	// NoUrgentReserve lets long requests use the whole limit.
	NoUrgentReserve bool
	// SubsetSize is the maximum number of targets of one model or service that this router
	// uses; 0 selects the default of 16.
	SubsetSize int
	// MaxLoadRatio is the largest ratio of a target's load to the mean load at which prefix
	// affinity may still select the target; 0 selects the default of 1.25.
	MaxLoadRatio float64
	// NoAffinity disables prefix affinity.
	NoAffinity bool
	// SilenceTimeout is the time without an event after which an engine with outstanding
	// requests counts as stalled and is avoided; 0 selects the default of 2 s.
	SilenceTimeout time.Duration
	// Choose returns the index of one of the candidates, or -1 if none has a free slot. The
	// default is prefix affinity bounded by load, then the less loaded of two random targets.
	Choose func(prefix uint64, cost float64, candidates []balance.Candidate) int
	// OnFreeSlot is called when a target that serves the models or the service may have a free
	// slot, or when it has been ejected. It may be nil.
	OnFreeSlot func(models []string, service string)
	// Probe checks whether an ejected target answers. If it is nil, every probe succeeds.
	Probe func(t catalogue.Target) error

	index atomic.Pointer[index]

	mu            sync.Mutex      // guards the fields below, and orders updates of index
	vmLeaving     map[string]bool // leaving VMs, by IP address or by address and port
	latestTargets []catalogue.Target
	evacuated     map[string]bool // keys are failure domains
}

// Update replaces the targets and the evacuated failure domains with those of a configuration snapshot.
func (p *Pool) Update(s *catalogue.Snapshot) {
	evacuated := make(map[string]bool)
	for _, domain := range s.Evacuations() {
		evacuated[domain] = true
	}
	p.mu.Lock()
	p.latestTargets, p.evacuated = s.Targets(), evacuated
	p.rebuild()
	p.mu.Unlock()
	p.notifyAllFreeSlots()
}

// SetEvacuated replaces the evacuated failure domains, whose targets receive no new requests.
func (p *Pool) SetEvacuated(domains map[string]bool) {
	p.mu.Lock()
	p.evacuated = domains
	p.rebuild()
	p.mu.Unlock()
	p.notifyAllFreeSlots()
}

// SetTargets replaces the targets. A target whose address stays keeps its state.
func (p *Pool) SetTargets(targets []catalogue.Target) {
	p.mu.Lock()
	p.latestTargets = targets
	p.rebuild()
	p.mu.Unlock()
	p.notifyAllFreeSlots()
}

// Rebalance recomputes the subsets after this router's position has changed.
func (p *Pool) Rebalance() {
	p.mu.Lock()
	p.rebuild()
	p.mu.Unlock()
	p.notifyAllFreeSlots()
}

// SetLeavingVMs replaces the set of leaving VMs, whose targets receive no new requests. The
// keys are IP addresses, or IP addresses with ports.
func (p *Pool) SetLeavingVMs(vms map[string]bool) {
	p.mu.Lock()
	p.vmLeaving = vms
	current := p.current()
	for addr, t := range current.all {
		t.mu.Lock()
		t.vmLeaving = isVMLeaving(vms, addr)
		t.mu.Unlock()
	}
	p.mu.Unlock()
	p.notifyAllFreeSlots()
}

// isVMLeaving reports whether vms contains the address or its host.
func isVMLeaving(vms map[string]bool, addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	return vms[addr] || (err == nil && vms[host])
}

// rebuild replaces the index with one of the latest targets. The caller holds mu.
func (p *Pool) rebuild() {
	old := p.current()
	all := make(map[string]*target, len(p.latestTargets))
	for _, info := range p.latestTargets {
		t, ok := old.all[info.Addr]
		if !ok {
			t = p.newTarget(info.Addr)
		}
		t.mu.Lock()
		t.info = info
		t.urgentReserve = p.urgentReserve()
		t.vmLeaving = isVMLeaving(p.vmLeaving, info.Addr)
		t.evacuated = p.evacuated[info.FailureDomain]
		t.mu.Unlock()
		all[info.Addr] = t
	}
	p.index.Store(newIndex(all, p.latestTargets, p.position(), p.subsetSize()))
}

// newTarget returns a target without outstanding requests.
func (p *Pool) newTarget(addr string) *target {
	return &target{
		addr:     addr,
		hash:     balance.Hash(addr),
		workers:  pond.NewPool(p.maxWorkers(), pond.WithNonBlocking(true)),
		limit:    health.NewLimit(p.Goals),
		progress: health.Progress{SilenceTimeout: p.silenceTimeout()},
	}
}

// current returns the current index, which is empty before the first targets are set.
func (p *Pool) current() *index {
	if i := p.index.Load(); i != nil {
		return i
	}
	return &index{}
}

// Engines returns the addresses of the engines that this router uses.
func (p *Pool) Engines() []string { return p.current().engineAddrs() }

// find returns the target with the address, or nil.
func (p *Pool) find(addr string) *target { return p.current().all[addr] }

// position returns the position that determines this router's subsets.
func (p *Pool) position() balance.RouterIndex {
	position := balance.RouterIndex{Self: p.Self}
	if p.Position != nil {
		position.Index, position.Count = p.Position()
	}
	return position
}

// notifyFreeSlot calls OnFreeSlot for the models or the service of one target.
func (p *Pool) notifyFreeSlot(t *target) {
	if p.OnFreeSlot == nil {
		return
	}
	info := t.currentInfo()
	p.OnFreeSlot(info.Models, info.Service)
}

// notifyAllFreeSlots calls OnFreeSlot for all models and services.
func (p *Pool) notifyAllFreeSlots() {
	if p.OnFreeSlot == nil {
		return
	}
	models, services := p.current().names()
	p.OnFreeSlot(models, "")
	for _, s := range services {
		p.OnFreeSlot(nil, s)
	}
}

// recordEjection counts an ejection and notifies the requests that wait for the target,
// because they may have no usable target left.
func (p *Pool) recordEjection(t *target) {
	ejections.Add(1)
	p.notifyFreeSlot(t)
}

// maxWorkers returns the size of the worker pool of one target.
func (p *Pool) maxWorkers() int {
	if p.Goals.MaxLimit == 0 {
		return defaultMaxWorkers
	}
	return p.Goals.MaxLimit
}

// urgentReserve returns UrgentReserve with its default, or 0 if NoUrgentReserve is set.
func (p *Pool) urgentReserve() float64 {
	switch {
	case p.NoUrgentReserve:
		return 0
	case p.UrgentReserve == 0:
		return defaultUrgentReserve
	default:
		return p.UrgentReserve
	}
}

// subsetSize returns SubsetSize with its default.
func (p *Pool) subsetSize() int {
	if p.SubsetSize == 0 {
		return defaultSubsetSize
	}
	return p.SubsetSize
}

// silenceTimeout returns SilenceTimeout with its default.
func (p *Pool) silenceTimeout() time.Duration {
	if p.SilenceTimeout == 0 {
		return defaultSilenceTimeout
	}
	return p.SilenceTimeout
}

// maxLoadRatio returns MaxLoadRatio with its default, or 0 if affinity is disabled.
func (p *Pool) maxLoadRatio() float64 {
	switch {
	case p.NoAffinity:
		return 0
	case p.MaxLoadRatio == 0:
		return defaultMaxLoadRatio
	default:
		return p.MaxLoadRatio
	}
}
