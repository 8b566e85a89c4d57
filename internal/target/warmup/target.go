package warmup

import (
	"time"

	"rosevalve/internal/target/balance"
)

const (
	// defaultColdTime is how long a target is presumed cold after its start if the configuration
	// does not say.
	defaultColdTime = 10 * time.Second
	// announceTime is how long after a crash the announcement of the next start may arrive.
	announceTime = 5 * time.Second
	// maxColdTimes bounds what a target tells, in multiples of how long one is cold after its
	// start, since another writer may have told it.
	maxColdTimes = 4
)

// Rate is what one cold target of a service bears.
type Rate struct {
	// PerSecond is the number of requests a second; 0 sets no limit.
	PerSecond float64
	// ColdTime is how long a target is cold after its start; 0 if that is not known.
	ColdTime time.Duration
}

// coldTime returns how long a target is cold after its start.
func (r Rate) coldTime() time.Duration {
	if r.ColdTime > 0 {
		return r.ColdTime
	}
	return defaultColdTime
}

// target is what is known of the warmth of one target. It outlasts the incarnation, which is
// not known at all routers at once.
type target struct {
	service       string
	hash          uint64
	toldUntil     time.Time // cold until then by its own account, which never shortens
	presumedUntil time.Time // cold until then since it may have restarted unnoticed
	lastTaken     time.Time // when this router last sent a request while the target was cold
	taken         int       // requests sent since it became cold
	cold          bool      // as last reported to OnChange
	rank          int       // of this router at rankGeneration
	ranked        bool
	rankedAt      uint64
}

func newTarget(service, id string) *target {
	return &target{service: service, hash: balance.Hash(id)}
}

// coldUntil returns when the target is warm; not after now if it is warm already.
func (t *target) coldUntil() time.Time {
	if t.presumedUntil.After(t.toldUntil) {
		return t.presumedUntil
	}
	return t.toldUntil
}

// rankIn returns the rank of the router with the hash self in the fleet.
func (t *target) rankIn(f *fleet, self uint64) int {
	if !t.ranked || t.rankedAt != f.generation {
		t.rank, t.ranked, t.rankedAt = f.rank(t.hash, self), true, f.generation
	}
	return t.rank
}
