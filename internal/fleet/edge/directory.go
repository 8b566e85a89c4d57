package edge

import (
	"math/rand/v2"
	"slices"

	"rosevalve/internal/fleet/entry"
	"rosevalve/internal/fleet/eventlog"
	"rosevalve/internal/protocol/inner"
)

// maxAddresses bounds the router addresses in one directory answer.
const maxAddresses = 64

// addresses returns the addresses of the routers that serve callers of a failure domain, at
// most maxAddresses, in random order.
func (e *Edge) addresses(domain string) []string {
	serving := slices.Clone(e.fleet.ServingDomain(domain))
	rand.Shuffle(len(serving), func(i, j int) { serving[i], serving[j] = serving[j], serving[i] })
	out := make([]string, 0, len(serving))
	for _, m := range serving[:min(maxAddresses, len(serving))] {
		out = append(out, m.CallerAddr)
	}
	return out
}

// directoryLogger logs changes of the routers that this router names to callers of its failure domain.
type directoryLogger struct {
	named []inner.Member // at the last update
}

// update logs the routers that are named now, if they have changed since the last call. members is the whole view, and
// self this router's inner address.
func (l *directoryLogger) update(self string, named, members []inner.Member, emit func(ev eventlog.Event, pairs ...any)) {
	if entry.SameSlice(named, l.named) || slices.EqualFunc(named, l.named, sameIncarnation) {
		return
	}
	l.named = named
	var alive, suspected, ready, busy int
	for _, m := range members {
		alive += count(m.State == inner.Alive)
		suspected += count(m.State == inner.Suspect)
		ready += count(m.State == inner.Alive && m.Ready)
		busy += count(m.State == inner.Alive && m.Busy)
	}
	namesSelf := slices.ContainsFunc(named, func(m inner.Member) bool { return m.InnerAddr == self })
	emit(eventlog.DirectoryChanged, "named", len(named), "names_self", namesSelf, "alive", alive, "suspected", suspected, "ready", ready, "busy", busy)
}

// sameIncarnation reports whether both entries are of one incarnation of a router.
func sameIncarnation(a, b inner.Member) bool { return a.ID == b.ID }

// count returns 1 if a condition holds, and 0 otherwise.
func count(holds bool) int {
	if holds {
		return 1
	}
	return 0
}
