package membership

import (
	"context"
	"math/bits"
	"math/rand/v2"
	"sync"
	"time"

	"rosevalve/internal/protocol/inner"
)

const (
	fewEvents   = 6  // statements about others in one message
	maxEvents   = 32 // the same while there is much news
	muchNews    = 24 // statements to send from which on beats come in a hurry
	maxMissing  = 6  // statements that answer one page
	pageSize    = 12
	pageEvery   = 4  // beats between pages while they bring nothing
	searchEvery = 8  // beats between calls to addresses that are not in the view
	maxSeeds    = 3  // addresses that are asked in one beat while nobody is known
	maxAnnounce = 32 // peers that are told directly of a change of this router
	maxProbes   = 16 // probes at the same time
	hurry       = 4  // beats in an interval while others are still being found
	joinBeats   = 40 // beats after the start in which pages come in a hurry

	defaultInterval = 500 * time.Millisecond
	defaultSuspect  = 3 * time.Second
	defaultForget   = 30 * time.Second
	probeTimeout    = time.Second
)

// View is what this router believes of the fleet.
type View struct {
	// Seeds are the inner addresses that are asked while nobody is known.
	Seeds []string
	// Contacts returns further inner addresses where routers may be, such as those of the VM list.
	Contacts func() []string
	// Interval is the time between beats.
	Interval time.Duration
	// SuspectAfter is how long a suspected router has to refute the suspicion.
	SuspectAfter time.Duration
	// ForgetAfter is how long the removal of a router is remembered.
	ForgetAfter time.Duration
	// Call sends an inner message to an address.
	Call func(ctx context.Context, addr, method string, in, out any) error
	// ConfigVersion returns the version of this router's configuration, which heartbeats carry;
	// a higher one is newer.
	ConfigVersion func() uint64
	// OnConfigVersion is told of the version that a heartbeat or its answer carried; it must not block.
	OnConfigVersion func(innerAddr string, version uint64)
	// OnReplaced runs once if another router answers at this router's address.
	OnReplaced func()

	// newer, elapsed, indirect and refute are mechanisms that tests switch off.
	newer    func(a, b inner.Version) bool
	elapsed  func(d time.Duration) time.Duration
	indirect func(ctx context.Context, addr string) bool
	refute   func(counter uint64) uint64

	probes sync.WaitGroup

	mu      sync.Mutex // guards the fields below
	self    inner.Member
	members map[string]*seen // by inner address
	sorted  []string         // addresses of members, in order
	// replacedIDs are the incarnations that another one at their address has replaced, by when.
	replacedIDs map[string]time.Duration
	pending     map[string]int // by inner address: times that the statement is still sent
	awake       time.Duration  // time that this process has run, without its pauses
	lastBeat    time.Time
	beats       int
	near        rota
	all         rota
	cursor      string // address after which the next page begins
	paging      bool   // the last page brought something
	contest     uint64 // epoch of another incarnation at this router's address
	replaced    bool
	inFlight    map[string]bool // addresses being probed
	random      *rand.Rand
	counts      Counts
	snapshot    []inner.Member // nil after a change
}

// Counts are the events of a view since its start.
type Counts struct {
	Suspicions  int64 `json:"suspicions"`
	Refutations int64 `json:"refutations"`
	Removals    int64 `json:"removals"`
	Pauses      int64 `json:"pauses"`
}

// seen is a member with the awake times of what is known of it.
type seen struct {
	member inner.Member
	dead   bool
	since  time.Duration // when the suspicion or the removal began
	heard  time.Duration // when it last answered or asked this router itself
}

// Join sets this router's own entry; it must come before Run.
func (v *View) Join(self inner.Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.setDefaults()
	if self.Epoch == 0 {
		// The clock only makes a contest rare: see settleContest.
		self.Epoch = uint64(time.Now().UnixMilli())
	}
	v.self = self
	v.members = make(map[string]*seen)
	v.replacedIDs = make(map[string]time.Duration)
	v.pending = make(map[string]int)
	v.inFlight = make(map[string]bool)
	v.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	v.lastBeat = time.Now()
}

func (v *View) setDefaults() {
	if v.Interval == 0 {
		v.Interval = defaultInterval
	}
	if v.SuspectAfter == 0 {
		v.SuspectAfter = defaultSuspect
	}
	if v.ForgetAfter == 0 {
		v.ForgetAfter = defaultForget
	}
	if v.newer == nil {
		v.newer = inner.Version.Newer
	}
	if v.elapsed == nil {
		v.elapsed = func(d time.Duration) time.Duration { return min(d, v.Interval) }
	}
	if v.indirect == nil {
		v.indirect = v.probeThroughOthers
	}
	if v.refute == nil {
		v.refute = func(counter uint64) uint64 { return counter + 1 }
	}
}

// Self returns this router's own entry.
func (v *View) Self() inner.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.self
}

// Counts returns the events since the start.
func (v *View) Counts() Counts {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.counts
}

// Run sends beats until ctx ends.
func (v *View) Run(ctx context.Context) error {
	defer v.probes.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		v.beat(ctx)
		timer.Reset(v.pause())
	}
}

// pause returns the time until the next beat, which is shorter while this router looks
// for others, or has much to tell.
func (v *View) pause() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.alone() || v.paging && v.beats < joinBeats || len(v.pending) > muchNews {
		return v.Interval / hurry
	}
	return v.Interval
}

// alone reports whether no other router is believed to live. The caller holds mu.
func (v *View) alone() bool {
	for _, s := range v.members {
		if !s.dead {
			return false
		}
	}
	return true
}

// patience returns how long an answer is waited for. A router that is alone soon asks
// again, since all may be starting at the same time.
func (v *View) patience() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.alone() {
		return probeTimeout / hurry
	}
	return probeTimeout
}

func (v *View) beat(ctx context.Context) {
	v.advance(time.Now())
	v.settleContest(ctx)
	for _, addr := range v.targets() {
		v.probes.Go(func() { v.probe(ctx, addr) })
	}
}

// advance moves the awake time on and removes what has been silent. A pause of this
// process is not silence of the others, so it counts as at most one interval.
func (v *View) advance(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	passed := now.Sub(v.lastBeat)
	v.lastBeat = now
	counted := v.elapsed(passed)
	if passed > 2*v.Interval {
		v.counts.Pauses++
	}
	v.awake += counted
	v.beats++
	for addr, s := range v.members {
		v.expire(addr, s)
	}
	for id, at := range v.replacedIDs {
		if v.awake-at > v.ForgetAfter {
			delete(v.replacedIDs, id)
		}
	}
}

// expire removes a suspect that has not refuted, and forgets old removals. The caller holds mu.
func (v *View) expire(addr string, s *seen) {
	switch {
	case s.dead && v.awake-s.since > v.ForgetAfter:
		v.forget(addr)
	case !s.dead && s.member.State == inner.Suspect && v.awake-s.since >= v.SuspectAfter && v.awake-s.heard >= v.SuspectAfter:
		v.remove(s)
		v.counts.Removals++
	}
}

// sends returns how often a statement is sent on so that all hear it. The caller holds mu.
func (v *View) sends() int { return 3 * bits.Len(uint(len(v.members)+1)) }
