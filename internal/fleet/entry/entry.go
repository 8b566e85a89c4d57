package entry

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

const maxEntries = 8

// Answer lists routers in the order in which the caller shall try them.
type Answer struct {
	Entries []Entry `json:"entries"`
	// MaxAgeS is how long the answer may be used, in seconds.
	MaxAgeS int64 `json:"max_age_s"`
}

// Entry is one router.
type Entry struct {
	URL           string `json:"url"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// Busy says that the router prefers that callers go elsewhere.
	Busy bool `json:"-"`
}

// Directory orders the routers for each caller.
type Directory struct {
	// Routers returns the routers that take new callers.
	Routers func() []Entry
	// MaxAge is how long callers may keep an answer.
	MaxAge time.Duration
}

// ranked is an entry with its place in the caller's order.
type ranked struct {
	entry   Entry
	distant bool
	hash    uint64
}

// Answer returns the routers in the caller's own order, which every router gives
// alike: those of the caller's region first, if it names one, and those with room
// before the busy ones.
func (d *Directory) Answer(caller, region string) Answer {
	var all []ranked
	for _, e := range d.Routers() {
		all = append(all, ranked{entry: e, distant: region != "" && e.Region != region, hash: rank(caller, e.URL)})
	}
	slices.SortFunc(all, compare)
	out := Answer{Entries: []Entry{}, MaxAgeS: int64(d.MaxAge / time.Second)}
	for _, r := range all[:min(maxEntries, len(all))] {
		out.Entries = append(out.Entries, r.entry)
	}
	return out
}

func compare(a, b ranked) int {
	if a.entry.Busy != b.entry.Busy {
		return later(a.entry.Busy)
	}
	if a.distant != b.distant {
		return later(a.distant)
	}
	return cmp.Compare(a.hash, b.hash)
}

func later(yes bool) int {
	if yes {
		return 1
	}
	return -1
}

// rank is a rendezvous hash: a router that comes or goes moves only its own callers.
func rank(caller, url string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(caller))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(url))
	return mix(h.Sum64())
}

// mix spreads the difference of similar inputs over all bits, which FNV does not.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
