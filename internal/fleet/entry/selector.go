package entry

import (
	"cmp"
	"slices"
	"sync"

	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/target/balance"
)

// Selector selects the routers that serve requests and ranks them per key. Results are cached until
// the membership view changes.
type Selector struct {
	// Members returns the membership view. A returned slice never changes; a changed view is a
	// new slice.
	Members func() []inner.Member

	mu        sync.Mutex     // guards the fields below
	view      []inner.Member // from which the other fields were computed
	serving   []inner.Member
	byDomain  map[string][]inner.Member // serving routers, by failure domain
	hashes    []uint64                  // of the inner addresses of serving, in its order
	topRanked map[string][]inner.Member // results of TopRanked, by key
}

// ServingRouters returns the routers that serve requests. The slice is shared and must not be changed.
func (s *Selector) ServingRouters() []inner.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	return s.serving
}

// minDomainRouters is the number of serving routers that a failure domain must have for its
// callers to use these alone, so that the loss of one router affects only a small part of them.
const minDomainRouters = 8

// ServingDomain returns the serving routers for callers of a failure domain: those of the domain if
// it has at least minDomainRouters, so that answers do not cross between domains, or else all. The
// slice is shared and must not be changed.
func (s *Selector) ServingDomain(domain string) []inner.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	if near := s.byDomain[domain]; len(near) >= minDomainRouters {
		return near
	}
	return s.serving
}

// ServingRegion is like ServingDomain, but leaves out the routers of other regions than the caller's if there are any in
// that, so that requests which must stay there are not sent elsewhere.
func (s *Selector) ServingRegion(domain, region string) []inner.Member {
	near := s.ServingDomain(domain)
	if own := filter(near, func(m inner.Member) bool { return m.Region == region }); len(own) > 0 {
		return own
	}
	return near
}

// TopRanked returns the n serving routers that rank highest for the key by rendezvous hashing, the
// highest first. All calls must pass the same n, since results are cached by key. The slice is
// shared and must not be changed.
func (s *Selector) TopRanked(key string, n int) []inner.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	out, ok := s.topRanked[key]
	if !ok {
		out = s.selectTop(balance.Hash(key), n)
		s.topRanked[key] = out
	}
	return out
}

// refresh recomputes the serving routers and clears the cached rankings if the view has changed.
// The caller holds mu.
func (s *Selector) refresh() {
	view := s.Members()
	if SameSlice(view, s.view) {
		return
	}
	s.view = view
	s.serving = ServingRouters(view)
	s.topRanked = make(map[string][]inner.Member)
	s.byDomain = make(map[string][]inner.Member)
	s.hashes = s.hashes[:0]
	for _, m := range s.serving {
		s.hashes = append(s.hashes, balance.Hash(m.InnerAddr))
		s.byDomain[m.FailureDomain] = append(s.byDomain[m.FailureDomain], m)
	}
}

// SameSlice reports whether two views are the same non-empty slice, so that nothing has changed
// between them. It does not compare members.
func SameSlice(a, b []inner.Member) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// rankedRouter is the index of a serving router with its rendezvous hash for a key.
type rankedRouter struct {
	index int
	rank  uint64
}

// selectTop returns the n serving routers with the highest rendezvous hashes. key is the hash of
// the key. The caller holds mu.
func (s *Selector) selectTop(key uint64, n int) []inner.Member {
	var top []rankedRouter // in descending order of rank
	for index, hash := range s.hashes {
		r := balance.Mix(key, hash)
		if len(top) == n && r <= top[n-1].rank {
			continue
		}
		i, _ := slices.BinarySearchFunc(top, r, func(c rankedRouter, r uint64) int { return cmp.Compare(r, c.rank) })
		top = slices.Insert(top, i, rankedRouter{index: index, rank: r})
		top = top[:min(n, len(top))]
	}
	out := make([]inner.Member, 0, len(top))
	for _, c := range top {
		out = append(out, s.serving[c.index])
	}
	return out
}
