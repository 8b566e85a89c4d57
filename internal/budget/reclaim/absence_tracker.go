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
func (s *AbsenceTracker) Refresh() {
	present := make(map[string]bool)
	for _, id := range s.Present() {
		present[id] = true
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.present == nil {
		s.firstRefresh = now
		s.missingSince = make(map[string]time.Time)
	}
	for id := range s.present {
		if !present[id] {
			s.missingSince[id] = now
		}
	}
	for id := range present {
		delete(s.missingSince, id)
	}
	s.present = present
}

// MissingFor returns how long the router has been missing, or zero if it is present
// or Refresh has not been called. A router that was never present counts as missing
// since the first refresh.
func (s *AbsenceTracker) MissingFor(id string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.present == nil || s.present[id] {
		return 0
	}
	if since, ok := s.missingSince[id]; ok {
		return time.Since(since)
	}
	return time.Since(s.firstRefresh)
}

// RanksAmongFirst reports whether fewer than n of the present routers rank below the router.
// The rank is a hash of the ID; routers use it to select which n of them sweep.
func (s *AbsenceTracker) RanksAmongFirst(id string, n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	lower := 0
	for other := range s.present {
		if rank(other) < rank(id) {
			lower++
		}
	}
	return lower < n
}

// rank returns the hash of the ID by which First orders routers.
func rank(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
