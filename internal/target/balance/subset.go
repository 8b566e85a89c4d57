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
// and gives each of its routers the next stretch of that order, so that a round
// covers the targets evenly. A router that does not know its place uses an order
// of its own; the subsets are then even only on average.
func Subset(model string, at Position, targets []string, size int) []string {
	if size <= 0 || size >= len(targets) {
		return slices.Clone(targets)
	}
	if at.Count == 0 {
		return stretch(order(Mix(Hash(model), Hash(at.Self)), targets), 0, size)
	}
	// A round's stretches begin at multiples of size and wrap around, so the
	// round after it goes on where it stopped.
	start := at.Index * size
	round := start / len(targets)
	offset := start % len(targets)
	out := stretch(order(Mix(Hash(model), uint64(round)), targets), offset, size)
	if missing := size - len(out); missing > 0 {
		out = fill(out, order(Mix(Hash(model), uint64(round+1)), targets), missing)
	}
	return out
}

// fill adds the first targets of the order that are not in out yet.
func fill(out, ordered []string, missing int) []string {
	for _, t := range ordered {
		if missing == 0 {
			break
		}
		if !slices.Contains(out, t) {
			out = append(out, t)
			missing--
		}
	}
	return out
}

func stretch(ordered []string, offset, size int) []string {
	return ordered[offset:min(offset+size, len(ordered))]
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
