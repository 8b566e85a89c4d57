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

// target is one model engine or plain service.
type target struct {
	addr    string
	hash    uint64
	workers pond.Pool

	mu          sync.Mutex // guards the fields below
	info        catalogue.Target
	vmLeaving   bool
	reserve     float64 // share of the limit that long requests leave free
	outstanding int
	long        int
	tokens      int64 // of outstanding requests
	limit       *health.Limit
	breaker     health.Breaker
	progress    health.Progress
	hint        hint
	probing     bool
}

// leaving reports whether the target gets no new work for good. The caller holds mu.
func (t *target) leaving() bool { return t.info.Leaving || t.vmLeaving }

// usable reports whether the target may get work once it has room. The caller holds mu.
func (t *target) usable() bool { return !t.leaving() && t.breaker.State() != health.Open }

// hasRoom reports whether the target may get the request now. The caller holds mu.
func (t *target) hasRoom(d Demand) bool {
	if !t.usable() || !t.breaker.Allows(t.outstanding) || t.outstanding >= t.limit.Value() {
		return false
	}
	return d.Urgent || t.long < t.longLimit()
}

// longLimit is the number of long requests that the target may have. The caller holds mu.
func (t *target) longLimit() int {
	limit := float64(t.limit.Value())
	return max(1, int(math.Floor(limit*(1-t.reserve))))
}

// view returns the target as the balancer sees it, and whether it may be chosen at all.
func (t *target) view(d Demand, now time.Time) (c balance.Candidate, usable, silent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c = balance.Candidate{
		Hash:   t.hash,
		Load:   float64(t.tokens) + t.hint.othersTokens(now),
		Room:   t.hasRoom(d),
		Cached: t.hint.holds(d.Prefix),
	}
	return c, t.usable(), t.progress.Silent(now, t.outstanding)
}

// take reserves a place for the request, if there is still room.
func (t *target) take(d Demand, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasRoom(d) {
		return false
	}
	if t.outstanding == 0 {
		t.progress.Busy(now)
	}
	t.outstanding++
	t.tokens += d.Tokens
	if !d.Urgent {
		t.long++
	}
	return true
}

// release gives a place back.
func (t *target) release(d Demand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outstanding--
	t.tokens -= d.Tokens
	if !d.Urgent {
		t.long--
	}
}

func (t *target) served() catalogue.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.info
}
