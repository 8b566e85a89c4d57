package entry

import (
	"rosevalve/internal/protocol/inner"
)

const (
	// smallCapacityShare is the share of the largest capacity in the fleet below which a router
	// counts as small.
	smallCapacityShare = 0.25
	// minServing is the number of large routers needed to serve all requests without the small
	// ones, so that the loss of one router affects only a part of the requests.
	minServing = 4
)

// ServingRouters returns the routers that serve requests. These are the large, ready routers that
// are alive and not busy, if at least minServing qualify; otherwise all ready routers that are
// not busy, or all ready routers if every one is busy.
//
// A few large routers know more about each target and workspace than many small ones, and a single
// caller cannot overload them. In a fleet of mixed sizes, all large routers count as
// ready until minServing of them are known to be, since a whole fleet may become ready faster
// than that information spreads.
func ServingRouters(members []inner.Member) []inner.Member {
	alive := filter(members, func(m inner.Member) bool { return m.State == inner.Alive })
	maxCapacity := 0
	for _, m := range alive {
		maxCapacity = max(maxCapacity, m.Capacity)
	}
	large := filter(alive, func(m inner.Member) bool { return float64(m.Capacity) >= smallCapacityShare*float64(maxCapacity) })
	if ready := filter(large, isReady); len(ready) >= minServing || len(large) == len(alive) {
		large = ready
	}
	if available := filter(large, notBusy); len(available) >= minServing {
		return available
	}
	ready := filter(alive, isReady)
	if available := filter(ready, notBusy); len(available) > 0 {
		return available
	}
	return ready
}

func isReady(m inner.Member) bool { return m.Ready }

func notBusy(m inner.Member) bool { return !m.Busy }

// filter returns the members for which keep returns true.
func filter(members []inner.Member, keep func(m inner.Member) bool) []inner.Member {
	var out []inner.Member
	for _, m := range members {
		if keep(m) {
			out = append(out, m)
		}
	}
	return out
}
