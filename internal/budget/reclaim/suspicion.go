package reclaim

import (
	"sync"
	"time"
)

// Suspicion remembers since when routers have been missing from the fleet.
type Suspicion struct {
	// Present returns the incarnations that are believed to live.
	Present func() []string

	mu      sync.Mutex // guards present and missing
	present map[string]bool
	missing map[string]time.Time
}

// Refresh takes over who is present now.
func (s *Suspicion) Refresh() {
	present := make(map[string]bool)
	for _, id := range s.Present() {
		present[id] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.present = present
	if s.missing == nil {
		s.missing = make(map[string]time.Time)
	}
	for id := range s.missing {
		if present[id] {
			delete(s.missing, id)
		}
	}
}

// MissingFor returns how long the router has been missing, counted from the first question about it.
func (s *Suspicion) MissingFor(id string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.present == nil || s.present[id] {
		return 0
	}
	since, ok := s.missing[id]
	if !ok {
		since = time.Now()
		s.missing[id] = since
	}
	return time.Since(since)
}
