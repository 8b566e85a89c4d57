package pool

import (
	"math"
	"sync"
	"time"

	"github.com/alitto/pond/v2"

	"rosevalve/internal/target/balance"
	"rosevalve/internal/target/health"
	"rosevalve/internal/workspace/catalogue"
)

// target is one model engine or one instance of a plain service, with its load and health
// as seen by this router.
type target struct {
	addr    string
	hash    uint64 // of addr, for prefix affinity
	workers pond.Pool

	mu                sync.Mutex // guards the fields below
	info              catalogue.Target
	vmLeaving         bool    // its VM is leaving
	evacuated         bool    // its failure domain is evacuated
	urgentReserve     float64 // share of the limit that long requests may not use
	outstanding       int     // requests of this router
	outstandingLong   int     // those that are not urgent
	outstandingTokens int64   // upper bound of the tokens they use
	limit             *health.Limit
	breaker           health.Breaker
	progress          health.Progress
	hint              hint
	probing           bool // a probe is in progress
}

// leaving reports whether the target, its VM or its failure domain is being emptied, so that it receives no new requests.
// The caller holds mu.
func (t *target) leaving() bool { return t.info.Leaving || t.vmLeaving || t.evacuated }

// usable reports whether the target is neither leaving nor ejected. The caller holds mu.
func (t *target) usable() bool { return !t.leaving() && t.breaker.State() != health.Open }

// hasFreeSlot reports whether the target may be sent the request now. The caller holds mu.
func (t *target) hasFreeSlot(r Requirements) bool {
	if !t.usable() || !t.breaker.Allows(t.outstanding) || t.outstanding >= t.limit.Value() {
		return false
	}
	return r.Urgent || t.outstandingLong < t.longLimit()
}

// longLimit returns the maximum number of outstanding long requests. The caller holds mu.
func (t *target) longLimit() int {
	limit := float64(t.limit.Value())
	return max(1, int(math.Floor(limit*(1-t.urgentReserve))))
}

// candidate returns the balancer's candidate for the target, whether the target is usable,
// and whether it is stalled.
func (t *target) candidate(r Requirements, now time.Time) (c balance.Candidate, usable, stalled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c = balance.Candidate{
		Hash:         t.hash,
		Load:         float64(t.outstandingTokens) + t.hint.otherLoad(now),
		HasSlot:      t.hasFreeSlot(r),
		PrefixCached: t.hint.hasPrefix(r.Prefix),
	}
	return c, t.usable(), t.progress.Silent(now, t.outstanding)
}

// admit adds the request to the outstanding ones if the target still has a free slot, and reports
// whether it did.
func (t *target) admit(r Requirements, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasFreeSlot(r) {
		return false
	}
	if t.outstanding == 0 {
		t.progress.Busy(now)
	}
	t.outstanding++
	t.outstandingTokens += r.Tokens
	if !r.Urgent {
		t.outstandingLong++
	}
	return true
}

// release removes the request from the outstanding ones.
func (t *target) release(r Requirements) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outstanding--
	t.outstandingTokens -= r.Tokens
	if !r.Urgent {
		t.outstandingLong--
	}
}

// currentInfo returns the catalogue entry of the target.
func (t *target) currentInfo() catalogue.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.info
}
