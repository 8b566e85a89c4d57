package balance

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Position is a router's place among all routers.
type Position struct {
	// Self names the router.
	Self string
	// Index is the router's place in the sorted list of routers.
	Index int
	// Count is the number of routers; if it is zero, the place is not known.
	Count int
}

// Hash returns the hash of a name.
func Hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return Mix(h.Sum64(), 1)
}

// Subset returns the targets, at most size, that the router at the position uses
// for the model.
//
// Routers are dealt into rounds. A round orders the targets by a hash of its own
// and gives each of its routers a stretch of that order, so that a round covers
// the targets evenly and one target more or less moves a stretch by one. A router that does not know its place uses an order
// of its own; the subsets are then even only on average.
func Subset(model string, at Position, targets []string, size int) []string {
	if size <= 0 || size >= len(targets) {
		return slices.Clone(targets)
	}
	if at.Count == 0 {
		return stretch(order(Mix(Hash(model), Hash(at.Self)), targets), 0, size)
	}
	perRound := (len(targets) + size - 1) / size
	round, place := at.Index/perRound, at.Index%perRound
	ordered := order(Mix(Hash(model), uint64(round)), targets)
	return stretch(ordered, place*len(targets)/perRound, size)
}

// stretch returns size targets from the offset on, going round at the end.
func stretch(ordered []string, offset, size int) []string {
	out := make([]string, 0, size)
	for i := range size {
		out = append(out, ordered[(offset+i)%len(ordered)])
	}
	return out
}

// order sorts the targets by their hash with the seed.
func order(seed uint64, targets []string) []string {
	type ranked struct {
		addr string
		rank uint64
	}
	all := make([]ranked, len(targets))
	for i, t := range targets {
		all[i] = ranked{addr: t, rank: Mix(seed, Hash(t))}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.addr, b.addr))
	})
	out := make([]string, len(all))
	for i, r := range all {
		out[i] = r.addr
	}
	return out
}
