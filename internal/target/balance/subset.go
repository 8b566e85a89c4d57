package balance

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// RouterIndex identifies a router and its index among all routers.
type RouterIndex struct {
	// Self is the ID of the router.
	Self string
	// Index is the router's index in the sorted list of routers.
	Index int
	// Count is the number of routers, or zero if Index is unknown.
	Count int
}

// Hash returns a 64-bit hash of the name of a target, router or model.
func Hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return Mix(h.Sum64(), 1)
}

// Subset returns the targets, at most size, that the router at the position uses
// for the model. It uses all targets if size is not positive.
//
// Routers are grouped by index into rounds. Each round sorts the targets by its own
// hash and assigns each of its routers a window of the sorted list. The windows of a
// round cover the targets evenly, and adding or removing one target shifts a window by
// at most one position while the number of routers per round stays the same. A router
// that does not know its index sorts the targets by its own hash; the subsets are then
// even only on average.
func Subset(model string, at RouterIndex, targets []string, size int) []string {
	if size <= 0 || size >= len(targets) {
		return slices.Clone(targets)
	}
	if at.Count == 0 {
		return window(sortByHash(Mix(Hash(model), Hash(at.Self)), targets), 0, size)
	}
	routersPerRound := (len(targets) + size - 1) / size
	round, indexInRound := at.Index/routersPerRound, at.Index%routersPerRound
	sorted := sortByHash(Mix(Hash(model), uint64(round)), targets)
	return window(sorted, indexInRound*len(targets)/routersPerRound, size)
}

// window returns size targets starting at the offset, wrapping around at the end.
func window(sorted []string, offset, size int) []string {
	out := make([]string, 0, size)
	for i := range size {
		out = append(out, sorted[(offset+i)%len(sorted)])
	}
	return out
}

// sortByHash returns the targets sorted by a hash of the seed and the target.
func sortByHash(seed uint64, targets []string) []string {
	type hashedTarget struct {
		addr string
		hash uint64
	}
	all := make([]hashedTarget, len(targets))
	for i, t := range targets {
		all[i] = hashedTarget{addr: t, hash: Mix(seed, Hash(t))}
	}
	slices.SortFunc(all, func(a, b hashedTarget) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.addr, b.addr))
	})
	out := make([]string, len(all))
	for i, r := range all {
		out[i] = r.addr
	}
	return out
}
