package warmup

import (
	"slices"
	"time"

	"rosevalve/internal/target/balance"
)

const (
	// settleTime is how long after its start, or after a pause of its process, a router may not
	// know all others yet, nor they it.
	settleTime = 10 * time.Second
	// maxObserveGap is the time between two observations above which the process has paused.
	maxObserveGap = 2 * time.Second
	// memberRetention is how long routers that are no longer in the view keep their rank. It
	// exceeds the cuts between regions, so that the sides of one keep the same owners.
	memberRetention = 2 * time.Hour
)

// fleet is the routers that this one remembers. Routers rank by address, which a restarted
// one keeps. If each router remembers all that run, those that count themselves among the
// first k for a target are at most k, whatever else they remember.
type fleet struct {
	observedAt time.Time            // of the last observation
	active     time.Duration        // time without a pause until observedAt
	view       []string             // of the last observation, sorted
	hashes     map[string]uint64    // of all routers that are remembered, without this one
	absent     map[string]time.Time // those that are not in the view, with when they were last
	generation uint64               // grows when the keys of hashes change

	// Mechanisms that tests disable.
	settle, retention, maxGap time.Duration
}

// observe records the sorted view, without this router.
func (f *fleet) observe(view []string, now time.Time) {
	if f.hashes == nil {
		f.hashes = make(map[string]uint64)
		f.absent = make(map[string]time.Time)
		f.observedAt = now
	}
	f.active += now.Sub(f.observedAt)
	if now.Sub(f.observedAt) > f.maxGap {
		f.active = 0
	}
	if !slices.Equal(view, f.view) {
		f.replaceView(view)
	}
	f.observedAt = now
	for addr, last := range f.absent {
		if now.Sub(last) > f.retention {
			delete(f.absent, addr)
			delete(f.hashes, addr)
			f.generation++
		}
	}
}

// replaceView remembers the routers of a new view, and since when the others are absent.
func (f *fleet) replaceView(view []string) {
	for _, addr := range f.view {
		f.absent[addr] = f.observedAt
	}
	for _, addr := range view {
		delete(f.absent, addr)
		if _, ok := f.hashes[addr]; !ok {
			f.hashes[addr] = balance.Hash(addr)
			f.generation++
		}
	}
	f.view = view
}

// settled reports whether the router has run without a pause for long enough and has met at
// least half of the seeds, those without itself. One that has met none may have been cut off
// since its start.
func (f *fleet) settled(seeds []string, now time.Time) bool {
	if f.active < f.settle || now.Sub(f.observedAt) > f.maxGap {
		return false
	}
	met := 0
	for _, seed := range seeds {
		if _, ok := f.hashes[seed]; ok {
			met++
		}
	}
	return 2*met >= len(seeds)
}

// size returns the number of routers, with this one.
func (f *fleet) size() int { return len(f.hashes) + 1 }

// rank returns how many routers rank before the one with the hash self for a target.
func (f *fleet) rank(target, self uint64) int {
	own := balance.Mix(target, self)
	rank := 0
	for _, hash := range f.hashes {
		if balance.Mix(target, hash) > own {
			rank++
		}
	}
	return rank
}
