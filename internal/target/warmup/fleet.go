package warmup

import (
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
	lastSeen   map[string]time.Time // by address, without this router
	hashes     map[string]uint64    // of the keys of lastSeen
	generation uint64               // grows when the routers change
}

// observe records the routers in the view, without this one.
func (f *fleet) observe(routers []string, now time.Time) {
	if f.lastSeen == nil {
		f.lastSeen = make(map[string]time.Time)
		f.hashes = make(map[string]uint64)
	}
	f.active += now.Sub(f.observedAt)
	if now.Sub(f.observedAt) > maxObserveGap {
		f.active = 0
	}
	f.observedAt = now
	for _, addr := range routers {
		if _, ok := f.hashes[addr]; !ok {
			f.hashes[addr] = balance.Hash(addr)
			f.generation++
		}
		f.lastSeen[addr] = now
	}
	for addr, seen := range f.lastSeen {
		if now.Sub(seen) > memberRetention {
			delete(f.lastSeen, addr)
			delete(f.hashes, addr)
			f.generation++
		}
	}
}

// settled reports whether the router has run without a pause for long enough and has met at least half of the
// seeds, those without itself. One that has met none may have been cut off since its start.
func (f *fleet) settled(seeds []string, now time.Time) bool {
	if f.lastSeen == nil || f.active < settleTime || now.Sub(f.observedAt) > maxObserveGap {
		return false
	}
	met := 0
	for _, seed := range seeds {
		if _, ok := f.lastSeen[seed]; ok {
			met++
		}
	}
	return 2*met >= len(seeds)
}

// size returns the number of routers, with this one.
func (f *fleet) size() int { return len(f.lastSeen) + 1 }

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
