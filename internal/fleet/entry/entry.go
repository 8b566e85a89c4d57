package entry

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// maxEntries bounds the routers in one answer.
const maxEntries = 8

// Answer lists routers in the order in which the caller should try them.
type Answer struct {
	Entries []Entry `json:"entries"`
	// MaxAgeS is how long the caller may use the answer, in seconds.
	MaxAgeS int64 `json:"max_age_s"`
}

// Entry describes one router to callers.
type Entry struct {
	URL           string `json:"url"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// Busy reports whether callers should prefer other routers.
	Busy bool `json:"-"`
}

// Directory computes the order in which each caller should try the routers.
type Directory struct {
	// Routers returns the routers that accept new callers.
	Routers func() []Entry
	// MaxAge is how long callers may use an answer.
	MaxAge time.Duration
}

// rankedEntry is an entry with its sort keys for one caller.
type rankedEntry struct {
	entry       Entry
	otherRegion bool
	hash        uint64
}

// Order returns at most maxEntries routers in the caller's own order, which is the same at every
// router. Busy routers come last; within each group, routers of the caller's region come first if
// region is not empty, and the rest of the order is by rendezvous hashing.
func (d *Directory) Order(caller, region string) Answer {
	var entries []rankedEntry
	for _, e := range d.Routers() {
		entries = append(entries, rankedEntry{entry: e, otherRegion: region != "" && e.Region != region, hash: rendezvousHash(caller, e.URL)})
	}
	slices.SortFunc(entries, compare)
	out := Answer{Entries: []Entry{}, MaxAgeS: int64(d.MaxAge / time.Second)}
	for _, r := range entries[:min(maxEntries, len(entries))] {
		out.Entries = append(out.Entries, r.entry)
	}
	return out
}

// compare orders by busy, then by region, then by hash.
func compare(a, b rankedEntry) int {
	if a.entry.Busy != b.entry.Busy {
		return boolOrder(a.entry.Busy)
	}
	if a.otherRegion != b.otherRegion {
		return boolOrder(a.otherRegion)
	}
	return cmp.Compare(a.hash, b.hash)
}

// boolOrder returns 1 if a sorts after b, and -1 otherwise.
func boolOrder(after bool) int {
	if after {
		return 1
	}
	return -1
}

// rendezvousHash returns the hash of a pair of caller and router. A router that joins or leaves
// moves only its own callers.
func rendezvousHash(caller, url string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(caller))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(url))
	return mixBits(h.Sum64())
}

// mixBits spreads the differences of similar inputs over all bits, which FNV does not.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
