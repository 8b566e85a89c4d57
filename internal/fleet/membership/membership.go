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
	baseEvents       = 6  // updates about other routers in one message; more with a large backlog
	maxEvents        = 32 // bound on the same
	fastBacklog      = 24 // pending updates above which rounds are fastFactor times as frequent
	maxMissing       = 6  // updates in the answer to one page
	pageSize         = 12 // versions in one page
	pageRounds       = 4  // rounds between pages while views agree
	discoveryRounds  = 8  // rounds between probes of addresses that are not in the view
	maxSeedProbes    = 3  // addresses probed in one round while no router is known
	maxAnnouncePeers = 32 // peers that are informed directly of a state change of this router
	maxProbes        = 32 // concurrent probes
	slowProbes       = 3  // concurrent probes from which rounds are fastFactor times as frequent: only several silent routers keep so many waiting
	fastFactor       = 4  // rounds per interval while joining or with a large backlog
	joinRounds       = 40 // rounds after the start in which differing pages make rounds more frequent

	defaultInterval     = 500 * time.Millisecond
	defaultSuspectAfter = 3 * time.Second
	defaultForgetAfter  = 30 * time.Second
	probeTimeout        = time.Second
)

// View is this router's view of the fleet, with one entry for each known router address.
type View struct {
	// Seeds are inner addresses to probe while no other router is known, and occasionally later
	// if they are not in the view.
	Seeds []string
	// ExtraSeeds returns further inner addresses to probe like Seeds, such as those of the VM list.
	ExtraSeeds func() []string
	// Interval is the time between gossip rounds.
	Interval time.Duration
	// SuspectAfter is the time that a suspected router has to refute the suspicion, not counting
	// pauses of this process.
	SuspectAfter time.Duration
	// ForgetAfter is how long the entry of a removed router is kept.
	ForgetAfter time.Duration
	// Call calls a method of the inner protocol at an address.
	Call func(ctx context.Context, addr, method string, in, out any) error
	// ConfigVersion returns the version of this router's configuration, which heartbeats carry.
	// A higher version is newer.
	ConfigVersion func() uint64
	// OnConfigVersion is called with the configuration version of a peer from each heartbeat and
	// each answer to one. It must not block.
	OnConfigVersion func(innerAddr string, version uint64)
	// Evacuation returns the position of this router's newest row about an evacuation, which heartbeats carry; zero if
	// it has none.
	Evacuation func() inner.TablePosition
	// OnEvacuation is called with that position of a peer from each heartbeat and each answer to one. It must not block.
	OnEvacuation func(innerAddr string, p inner.TablePosition)
	// Impaired reports whether this router is so overloaded that a missing answer may be its own fault. It then suspects and
	// removes no router by itself, and relies on what others report. It may be nil.
	Impaired func() bool
	// OnReplaced is called once if another router answers at this router's address.
	OnReplaced func()

	// Mechanisms that tests disable one by one: newer orders versions, elapsed returns how much of
	// the time between two rounds counts as active time, indirectProbe probes an address through
	// other routers, and refute returns the counter that refutes a suspicion.
	newer         func(a, b inner.Version) bool
	elapsed       func(d time.Duration) time.Duration
	indirectProbe func(ctx context.Context, addr string) bool
	refute        func(counter uint64) uint64

	probes sync.WaitGroup // running probes

	mu          sync.Mutex // guards the fields below
	self        inner.Member
	members     map[string]*memberEntry // by inner address
	sortedAddrs []string                // keys of members, sorted
	// replacedIDs maps incarnations that were replaced at their address to the active time of that.
	replacedIDs    map[string]time.Duration
	remainingSends map[string]int // by inner address: how many more times the update is sent
	activeTime     time.Duration  // time that this process has run, without its own pauses
	lastRound      time.Time
	rounds         int
	regionOrder    probeOrder      // over the routers of this router's region
	fleetOrder     probeOrder      // over all routers
	pageCursor     string          // address after which the next page begins
	pagesDiffer    bool            // the answer to the last page contained updates
	sweepPages     int             // pages that are still sent at once since this process was paused
	rivalEpoch     uint64          // epoch of another incarnation at this router's address; 0 if none
	replaced       bool            // another router answers at this router's address
	inFlight       map[string]bool // addresses being probed
	random         *rand.Rand
	counts         Counts
	snapshot       []inner.Member // result of Members; nil after a change
}

// Counts are the numbers of events of a view since its start.
type Counts struct {
	Suspicions  int64 `json:"suspicions"`
	Refutations int64 `json:"refutations"`
	Removals    int64 `json:"removals"`
	Pauses      int64 `json:"pauses"`
}

// memberEntry is the entry of another router. Its times are active times of this process.
type memberEntry struct {
	member      inner.Member
	removed     bool
	stateSince  time.Duration // when the last update was merged, or the suspicion or removal began
	lastContact time.Duration // time of the last heartbeat or answer received directly from it
	// outdated is set while the entry is from before a pause of this process, during which the others may have forgotten
	// a router that ended.
	outdated bool
}

// Join sets this router's own entry. It must be called before any other method.
func (v *View) Join(self inner.Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.setDefaults()
	if self.Epoch == 0 {
		// An epoch from the clock only makes address conflicts rare; resolveAddressConflict
		// handles those that remain.
		self.Epoch = uint64(time.Now().UnixMilli())
	}
	v.self = self
	v.members = make(map[string]*memberEntry)
	v.replacedIDs = make(map[string]time.Duration)
	v.remainingSends = make(map[string]int)
	v.inFlight = make(map[string]bool)
	v.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	v.lastRound = time.Now()
}

// setDefaults sets the fields that are unset. The caller holds mu.
func (v *View) setDefaults() {
	if v.Interval == 0 {
		v.Interval = defaultInterval
	}
	if v.SuspectAfter == 0 {
		v.SuspectAfter = defaultSuspectAfter
	}
	if v.ForgetAfter == 0 {
		v.ForgetAfter = defaultForgetAfter
	}
	if v.newer == nil {
		v.newer = inner.Version.Newer
	}
	if v.elapsed == nil {
		v.elapsed = func(d time.Duration) time.Duration { return min(d, v.Interval) }
	}
	if v.indirectProbe == nil {
		v.indirectProbe = v.probeIndirectly
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

// Counts returns the numbers of events since the start.
func (v *View) Counts() Counts {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.counts
}

// Run executes gossip rounds until ctx ends.
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
		v.runRound(ctx)
		timer.Reset(v.nextDelay())
	}
}

// nextDelay returns the time until the next round, which is shorter while this router is joining, has many
// pending updates, catches up after a pause, or waits for several routers, so that it finds those that have ended
// together.
func (v *View) nextDelay() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.isolated() || v.pagesDiffer && v.rounds < joinRounds || len(v.remainingSends) > fastBacklog || len(v.inFlight) >= slowProbes || v.sweepPages > 0 {
		return v.Interval / fastFactor
	}
	return v.Interval
}

// impaired reports whether a missing answer may be the fault of this router.
func (v *View) impaired() bool { return v.Impaired != nil && v.Impaired() }

// isolated reports whether the view contains no other router. The caller holds mu.
func (v *View) isolated() bool {
	for _, e := range v.members {
		if !e.removed {
			return false
		}
	}
	return true
}

// heartbeatTimeout returns the timeout of a heartbeat. It is shorter for an isolated router, which
// retries soon because all routers may be starting at the same time.
func (v *View) heartbeatTimeout() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.isolated() {
		return probeTimeout / fastFactor
	}
	return probeTimeout
}

// runRound expires entries, resolves an address conflict and starts this round's probes.
func (v *View) runRound(ctx context.Context) {
	v.advance(time.Now())
	v.resolveAddressConflict(ctx)
	for _, addr := range v.probeTargets() {
		v.probes.Go(func() { v.probe(ctx, addr) })
	}
}

// advance adds the time since the last round to the active time and expires entries. A pause of
// this process must not count as time without contact, so each round adds at most one interval, and none while this router
// is impaired.
func (v *View) advance(now time.Time) {
	impaired := v.impaired()
	v.mu.Lock()
	defer v.mu.Unlock()
	passed := now.Sub(v.lastRound)
	v.lastRound = now
	counted := v.elapsed(passed)
	if impaired {
		counted = 0
	}
	if passed > 2*v.Interval {
		v.counts.Pauses++
	}
	if passed > v.SuspectAfter {
		v.recoverFromPause()
	}
	v.activeTime += counted
	v.rounds++
	for addr, e := range v.members {
		v.expire(addr, e)
	}
	for id, at := range v.replacedIDs {
		if v.activeTime-at > v.ForgetAfter {
			delete(v.replacedIDs, id)
		}
	}
}

// recoverFromPause marks all entries as outdated and has the whole view compared with other ones. The caller holds mu.
func (v *View) recoverFromPause() {
	for _, e := range v.members {
		e.outdated = true
	}
	v.pageCursor = ""
	v.sweepPages = (len(v.members) + pageSize - 1) / pageSize
}

// expire removes a suspect that has neither refuted the suspicion nor contacted this router in
// time, and forgets a removed router after ForgetAfter. The caller holds mu.
func (v *View) expire(addr string, e *memberEntry) {
	switch {
	case e.removed && v.activeTime-e.stateSince > v.ForgetAfter:
		v.forget(addr)
	case !e.removed && e.member.State == inner.Suspect && v.activeTime-e.stateSince >= v.SuspectAfter && v.activeTime-e.lastContact >= v.SuspectAfter:
		v.markRemoved(e)
		v.counts.Removals++
	}
}

// maxSends returns how often an update is sent, which grows with the logarithm of the fleet's size
// so that the update reaches all routers. The caller holds mu.
func (v *View) maxSends() int { return 3 * bits.Len(uint(len(v.members)+1)) }
