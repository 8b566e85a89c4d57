package entry

import (
	"cmp"
	"hash/maphash"
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
}

// Directory orders the routers for each caller.
type Directory struct {
	// Routers returns the routers that take new callers.
	Routers func() []Entry
	// MaxAge is how long callers may keep an answer.
	MaxAge time.Duration

	seed maphash.Seed
}

// Start prepares the directory; it must come before the first answer.
func (d *Directory) Start() { d.seed = maphash.MakeSeed() }

// Answer returns the routers in the caller's own order.
func (d *Directory) Answer(caller string) Answer {
	routers := slices.Clone(d.Routers())
	slices.SortFunc(routers, func(a, b Entry) int {
		return cmp.Compare(d.rank(caller, a.URL), d.rank(caller, b.URL))
	})
	if len(routers) > maxEntries {
		routers = routers[:maxEntries]
	}
	return Answer{Entries: routers, MaxAgeS: int64(d.MaxAge / time.Second)}
}

func (d *Directory) rank(caller, url string) uint64 {
	return maphash.Comparable(d.seed, caller+"|"+url)
}
