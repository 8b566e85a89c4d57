package reclaim

import (
	"hash/fnv"
	"sync"
	"time"
)

// Suspicion remembers since when routers have been missing from the fleet.
type Suspicion struct {
	// Present returns the incarnations that are believed to live.
	Present func() []string

	mu      sync.Mutex // guards the fields below
	began   time.Time
	present map[string]bool
	missing map[string]time.Time
}

// Refresh takes over who is present now.
func (s *Suspicion) Refresh() {
	present := make(map[string]bool)
	for _, id := range s.Present() {
		present[id] = true
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.present == nil {
		s.began = now
		s.missing = make(map[string]time.Time)
	}
	for id := range s.present {
		if !present[id] {
			s.missing[id] = now
		}
	}
	for id := range present {
		delete(s.missing, id)
	}
	s.present = present
}

// MissingFor returns how long the router has been missing. One that was never
// present counts from the first refresh.
func (s *Suspicion) MissingFor(id string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.present == nil || s.present[id] {
		return 0
	}
	if since, ok := s.missing[id]; ok {
		return time.Since(since)
	}
	return time.Since(s.began)
}

// First reports whether the router is among the first n of those present, in an
// order that spreads duties over routers.
func (s *Suspicion) First(id string, n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := 0
	for other := range s.present {
		if rank(other) < rank(id) {
			before++
		}
	}
	return before < n
}

func rank(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
