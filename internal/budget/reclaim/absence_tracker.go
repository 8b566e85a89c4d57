package reclaim

import (
	"hash/fnv"
	"sync"
	"time"
)

// AbsenceTracker tracks how long router incarnations have been missing from the fleet.
type AbsenceTracker struct {
	// Present returns the IDs of the incarnations that the fleet view lists as present.
	Present func() []string

	mu           sync.Mutex // guards firstRefresh, present and missingSince
	firstRefresh time.Time
	present      map[string]bool
	missingSince map[string]time.Time
}

// Refresh reads Present and records the time at which incarnations went missing.
func (t *AbsenceTracker) Refresh() {
	present := make(map[string]bool)
	for _, id := range t.Present() {
		present[id] = true
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.present == nil {
		t.firstRefresh = now
		t.missingSince = make(map[string]time.Time)
	}
	for id := range t.present {
		if !present[id] {
			t.missingSince[id] = now
		}
	}
	for id := range present {
		delete(t.missingSince, id)
	}
	t.present = present
}

// MissingFor returns how long the router has been missing, or zero if it is present
// or Refresh has not been called. A router that was never present counts as missing
// since the first refresh.
func (t *AbsenceTracker) MissingFor(id string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.present == nil || t.present[id] {
		return 0
	}
	if since, ok := t.missingSince[id]; ok {
		return time.Since(since)
	}
	return time.Since(t.firstRefresh)
}

// RanksAmongFirst reports whether fewer than n of the present routers rank below the router.
// The rank is a hash of the ID; routers use it to select which n of them sweep.
func (t *AbsenceTracker) RanksAmongFirst(id string, n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	lower := 0
	for other := range t.present {
		if rank(other) < rank(id) {
			lower++
		}
	}
	return lower < n
}

// rank returns the hash of the ID by which RanksAmongFirst orders routers.
func rank(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
