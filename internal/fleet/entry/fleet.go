package entry

import (
	"cmp"
	"slices"
	"sync"

	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/target/balance"
)

// Fleet tells which routers carry requests and which of them stand for a key. What it has
// worked out stays until the view of the fleet changes.
type Fleet struct {
	// Members returns the view. A slice that was returned does not change; a change of the
	// view is a new one.
	Members func() []inner.Member

	mu       sync.Mutex // guards the fields below
	view     []inner.Member
	carriers []inner.Member
	domains  map[string][]inner.Member // carriers by failure domain
	hashes   []uint64                  // of the carriers' inner addresses
	leaders  map[string][]inner.Member // by key
}

// Carriers returns the routers that carry requests. The slice is shared.
func (f *Fleet) Carriers() []inner.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.look()
	return f.carriers
}

// leastNear is how many carriers a failure domain must have for its callers to be told of
// these alone: the loss of one is then the loss of a small part.
const leastNear = 8

// Near returns the carriers for a caller of a failure domain: those of the domain if it has
// enough of them, so that answers do not cross between domains, and else all. The slice is
// shared.
func (f *Fleet) Near(domain string) []inner.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.look()
	if near := f.domains[domain]; len(near) >= leastNear {
		return near
	}
	return f.carriers
}

// Leaders returns the first n carriers in the key's own order, by a rendezvous hash. n is
// the same at every call. The slice is shared.
func (f *Fleet) Leaders(key string, n int) []inner.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.look()
	out, ok := f.leaders[key]
	if !ok {
		out = f.rank(balance.Hash(key), n)
		f.leaders[key] = out
	}
	return out
}

// look takes in a changed view. The caller holds mu.
func (f *Fleet) look() {
	view := f.Members()
	if SameView(view, f.view) {
		return
	}
	f.view = view
	f.carriers = Carriers(view)
	f.leaders = make(map[string][]inner.Member)
	f.domains = make(map[string][]inner.Member)
	f.hashes = f.hashes[:0]
	for _, m := range f.carriers {
		f.hashes = append(f.hashes, balance.Hash(m.InnerAddr))
		f.domains[m.FailureDomain] = append(f.domains[m.FailureDomain], m)
	}
}

// SameView reports whether two views are one slice, so that nothing has changed between them.
func SameView(a, b []inner.Member) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// rankedCarrier is a carrier's index with its place in the order of a key.
type rankedCarrier struct {
	index int
	rank  uint64
}

// rank selects the first n carriers. The caller holds mu.
func (f *Fleet) rank(key uint64, n int) []inner.Member {
	var first []rankedCarrier // the highest first
	for i, hash := range f.hashes {
		r := balance.Mix(key, hash)
		if len(first) == n && r <= first[n-1].rank {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, r, func(c rankedCarrier, r uint64) int { return cmp.Compare(r, c.rank) })
		first = slices.Insert(first, at, rankedCarrier{index: i, rank: r})
		first = first[:min(n, len(first))]
	}
	out := make([]inner.Member, 0, len(first))
	for _, c := range first {
		out = append(out, f.carriers[c.index])
	}
	return out
}
