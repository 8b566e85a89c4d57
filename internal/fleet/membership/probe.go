package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"rosevalve/internal/protocol/inner"
)

const (
	indirectProbers = 2                      // peers that probe a router which did not answer this one
	pauseSlack      = 500 * time.Millisecond // if a probe exceeds its timeouts by more, this process was paused
)

// probeOrder is a random order of addresses. Each is probed once before the order is drawn again.
type probeOrder struct {
	addrs []string
	next  int
}

// probeTargets returns the addresses to probe in this round: one router of this router's region,
// one of the whole fleet, and every discoveryRounds rounds an address that is not in the view.
// If there is nothing else to probe and no probe is running, it returns up to maxSeedProbes such
// addresses.
func (v *View) probeTargets() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []string
	add := func(addr string) {
		if addr != "" && !v.inFlight[addr] && len(v.inFlight) < maxProbes {
			v.inFlight[addr] = true
			out = append(out, addr)
		}
	}
	add(v.nextTarget(&v.regionOrder, func(m inner.Member) bool { return m.Region == v.self.Region }))
	add(v.nextTarget(&v.fleetOrder, func(inner.Member) bool { return true }))
	if len(out) == 0 && len(v.inFlight) == 0 {
		for _, addr := range v.unknownAddrs(maxSeedProbes) {
			add(addr)
		}
	} else if v.rounds%discoveryRounds == 0 {
		for _, addr := range v.unknownAddrs(1) {
			add(addr)
		}
	}
	return out
}

// nextTarget returns the next address in r that is still a member, or "" if none is. At the end of
// r, it draws a new order of the members that include accepts. The caller holds mu.
func (v *View) nextTarget(r *probeOrder, include func(inner.Member) bool) string {
	for range 2 {
		for r.next < len(r.addrs) {
			addr := r.addrs[r.next]
			r.next++
			if e, ok := v.members[addr]; ok && !e.removed && !v.skips(addr, e) {
				return addr
			}
		}
		r.next = 0
		r.addrs = r.addrs[:0]
		for addr, e := range v.members {
			if !e.removed && include(e.member) {
				r.addrs = append(r.addrs, addr)
			}
		}
		slices.Sort(r.addrs)
		v.random.Shuffle(len(r.addrs), func(i, j int) { r.addrs[i], r.addrs[j] = r.addrs[j], r.addrs[i] })
	}
	return ""
}

// skips reports whether other routers are probed before the one at addr: those not yet suspected go first while several
// routers are silent. The caller holds mu.
func (v *View) skips(addr string, e *memberEntry) bool {
	return len(v.inFlight) >= slowProbes && (v.inFlight[addr] || e.member.State == inner.Suspect)
}

// unknownAddrs returns at most n random addresses at which a router may run that is not in the view:
// Seeds, ExtraSeeds and removed routers. Probing them merges the views again after a partition.
// The caller holds mu.
func (v *View) unknownAddrs(n int) []string {
	candidates := slices.Clone(v.Seeds)
	if v.ExtraSeeds != nil {
		candidates = append(candidates, v.ExtraSeeds()...)
	}
	for _, addr := range v.sortedAddrs {
		if v.members[addr].removed {
			candidates = append(candidates, addr)
		}
	}
	candidates = slices.DeleteFunc(candidates, func(addr string) bool {
		e, ok := v.members[addr]
		return addr == v.self.InnerAddr || ok && !e.removed
	})
	v.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(n, len(candidates))]
}

// sample returns the addresses of at most n random unsuspected members other than exclude.
func (v *View) sample(n int, exclude string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []string
	for _, addr := range v.sortedAddrs {
		e := v.members[addr]
		if addr != exclude && !e.removed && e.member.State != inner.Suspect {
			out = append(out, addr)
		}
	}
	v.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// probe sends a heartbeat to addr. If a member does not answer, probe tries it through other
// routers, and marks it as suspected if these do not reach it either.
func (v *View) probe(ctx context.Context, addr string) {
	defer v.probeDone(addr)
	probedVersion, known := v.version(addr)
	began, wasImpaired := time.Now(), v.impaired()
	if v.exchange(ctx, addr) == nil || !known {
		return
	}
	if v.indirectProbe(ctx, addr) || ctx.Err() != nil {
		return
	}
	if time.Since(began) > 2*probeTimeout+pauseSlack {
		return // this process was paused: the missing answer proves nothing
	}
	if wasImpaired || v.impaired() {
		return
	}
	v.markSuspect(addr, probedVersion)
}

// probeDone marks the probe of addr as ended.
func (v *View) probeDone(addr string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.inFlight, addr)
}

// version returns the version of the entry of addr, and whether addr is a member.
func (v *View) version(addr string) (inner.Version, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.members[addr]
	if !ok || e.removed {
		return inner.Version{}, false
	}
	return e.member.Version(), true
}

// probeIndirectly asks a few peers to probe addr and reports whether one of them reached it.
func (v *View) probeIndirectly(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	peers := v.sample(indirectProbers, addr)
	reached := make(chan bool, len(peers))
	for _, peer := range peers {
		v.probes.Go(func() {
			var ack inner.ProbeAck
			err := v.Call(ctx, peer, inner.MethodProbe, inner.Probe{InnerAddr: addr}, &ack)
			reached <- err == nil && ack.Reached
		})
	}
	for range peers {
		if <-reached {
			return true
		}
	}
	return false
}

// HandleProbe probes another router for a peer.
func (v *View) HandleProbe(ctx context.Context, params json.RawMessage) (any, error) {
	var in inner.Probe
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode probe: %w", err)
	}
	return inner.ProbeAck{Reached: v.exchange(ctx, in.InnerAddr) == nil}, nil
}
