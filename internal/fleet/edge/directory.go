package edge

import (
	"math/rand/v2"
	"slices"

	"rosevalve/internal/fleet/eventlog"
	"rosevalve/internal/protocol/inner"
)

// maxAddresses bounds the router addresses in one directory answer.
const maxAddresses = 64

// addresses returns the addresses of the routers that serve callers of a failure domain, at
// most maxAddresses, in random order. While routes or workspaces have homes, callers get
// routers of their region.
func (e *Edge) addresses(domain, region string) []string {
	serving := e.fleet.ServingDomain(domain)
	if p := e.plan.Load(); p != nil && p.HasHomes() {
		serving = e.fleet.ServingRegion(domain, region)
	}
	serving = slices.Clone(serving)
	rand.Shuffle(len(serving), func(i, j int) { serving[i], serving[j] = serving[j], serving[i] })
	out := make([]string, 0, len(serving))
	for _, m := range serving[:min(maxAddresses, len(serving))] {
		out = append(out, m.CallerAddr)
	}
	return out
}

// directoryLogger logs how many routers this router names to callers of its failure domain.
type directoryLogger struct {
	named     int // at the last update
	namesSelf bool
}

// update logs how many routers are named now, if that or whether this router is among them has changed since the last
// call. members is the whole view, and self this router's inner address.
func (l *directoryLogger) update(self string, named, members []inner.Member, emit func(ev eventlog.Event, pairs ...any)) {
	namesSelf := slices.ContainsFunc(named, func(m inner.Member) bool { return m.InnerAddr == self })
	if len(named) == l.named && namesSelf == l.namesSelf {
		return
	}
	l.named, l.namesSelf = len(named), namesSelf
	var alive, suspected, ready, busy int
	for _, m := range members {
		switch m.State {
		case inner.Alive:
			alive++
			ready += boolToInt(m.Ready)
			busy += boolToInt(m.Busy)
		case inner.Suspect:
			suspected++
		}
	}
	emit(eventlog.DirectoryChanged, "named", len(named), "names_self", namesSelf, "alive", alive, "suspected", suspected, "ready", ready, "busy", busy)
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
