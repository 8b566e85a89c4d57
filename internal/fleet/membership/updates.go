package membership

import (
	"context"
	"slices"
	"sync"

	"rosevalve/internal/protocol/inner"
)

// AnnounceLeaving announces that this router accepts no new callers. It informs a bounded number
// of peers directly.
func (v *View) AnnounceLeaving(ctx context.Context) { v.announce(ctx, inner.Leaving) }

// AnnounceStopped announces that this router has stopped. It must follow all other announcements.
func (v *View) AnnounceStopped(ctx context.Context) { v.announce(ctx, inner.Dead) }

// SetReady announces whether this router can serve callers of routed requests.
func (v *View) SetReady(ready bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.self.Ready == ready {
		return
	}
	v.self.Ready = ready
	v.bumpCounter()
}

// SetBusy announces whether callers should prefer other routers.
func (v *View) SetBusy(busy bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.self.Busy == busy {
		return
	}
	v.self.Busy = busy
	v.bumpCounter()
}

// announce changes this router's state and sends it directly to at most maxAnnouncePeers random
// peers.
func (v *View) announce(ctx context.Context, state inner.MemberState) {
	v.mu.Lock()
	v.self.State = state
	v.bumpCounter()
	v.mu.Unlock()
	var calls sync.WaitGroup
	for _, addr := range v.sample(maxAnnouncePeers, "") {
		calls.Go(func() { _ = v.exchange(ctx, addr) })
	}
	calls.Wait()
}

// bumpCounter gives this router's own entry a new version after a change. The caller holds mu.
func (v *View) bumpCounter() {
	v.self.Counter++
	v.snapshot = nil
}

// merge applies an update if it is newer than the known entry, and reports whether it was. The
// caller holds mu.
func (v *View) merge(m inner.Member) bool {
	if m.InnerAddr == v.self.InnerAddr {
		v.mergeSelf(m)
		return false
	}
	e, known := v.members[m.InnerAddr]
	if known && !v.newer(m.Version(), e.member.Version()) {
		return false
	}
	if !known {
		if m.State == inner.Dead {
			return false
		}
		e = &memberEntry{}
		v.insert(m.InnerAddr, e)
	}
	if known && e.member.ID != m.ID {
		v.replacedIDs[e.member.ID] = v.activeTime
	}
	e.member = m
	e.removed, e.outdated = false, false
	e.stateSince = v.activeTime
	v.remainingSends[m.InnerAddr] = v.maxSends()
	v.snapshot = nil
	if m.State == inner.Dead {
		v.markRemoved(e)
	}
	return true
}

// mergeSelf handles an update about this router's own address. It refutes a suspicion, and records
// another incarnation whose epoch would make it supersede this one. The caller holds mu.
func (v *View) mergeSelf(m inner.Member) {
	if m.ID != v.self.ID {
		if m.Epoch >= v.self.Epoch {
			v.rivalEpoch = m.Epoch
		}
		return
	}
	if m.State != inner.Suspect || m.Epoch != v.self.Epoch || m.Counter < v.self.Counter {
		return
	}
	v.self.Counter = v.refute(m.Counter)
	v.counts.Refutations++
	v.snapshot = nil
}

// resolveAddressConflict decides between this router and another incarnation at its address. The
// one that answers at the address is the current one; clocks are not compared. This router
// either raises its epoch above the other one's or marks itself as replaced.
func (v *View) resolveAddressConflict(ctx context.Context) {
	v.mu.Lock()
	rivalEpoch, self, replaced := v.rivalEpoch, v.self, v.replaced
	v.rivalEpoch = 0
	v.mu.Unlock()
	if rivalEpoch == 0 || replaced {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var answer inner.Hello
	hello := inner.Hello{ProtocolVersion: inner.ProtocolVersion, Sender: self}
	err := v.Call(callCtx, self.InnerAddr, inner.MethodHello, hello, &answer)
	if err == nil && answer.Sender.ID != self.ID {
		v.markReplaced()
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.self.Epoch = max(v.self.Epoch, rivalEpoch+1)
	v.bumpCounter()
}

// markReplaced makes this router leave after another one has replaced it.
func (v *View) markReplaced() {
	v.mu.Lock()
	v.replaced = true
	v.self.State = inner.Leaving
	v.snapshot = nil
	v.mu.Unlock()
	if v.OnReplaced != nil {
		v.OnReplaced()
	}
}

// markSuspect marks the router at addr as suspected, unless its entry has changed since the probe
// began, when it had the version probedVersion.
func (v *View) markSuspect(addr string, probedVersion inner.Version) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.members[addr]
	if !ok || e.removed || e.member.State == inner.Suspect || e.member.Version() != probedVersion {
		return
	}
	e.member.State = inner.Suspect
	e.stateSince = v.activeTime
	v.remainingSends[addr] = v.maxSends()
	v.counts.Suspicions++
	v.snapshot = nil
}

// markRemoved removes a router from the view but keeps its entry until it expires. The caller
// holds mu.
func (v *View) markRemoved(e *memberEntry) {
	e.removed = true
	e.stateSince = v.activeTime
	v.snapshot = nil
}

// insert adds an entry for a new address. The caller holds mu.
func (v *View) insert(addr string, e *memberEntry) {
	v.members[addr] = e
	i, _ := slices.BinarySearch(v.sortedAddrs, addr)
	v.sortedAddrs = slices.Insert(v.sortedAddrs, i, addr)
}

// forget deletes the entry of an address. The caller holds mu.
func (v *View) forget(addr string) {
	delete(v.members, addr)
	delete(v.remainingSends, addr)
	if i, ok := slices.BinarySearch(v.sortedAddrs, addr); ok {
		v.sortedAddrs = slices.Delete(v.sortedAddrs, i, i+1)
	}
}

// nextEvents returns the pending updates with the most remaining sends, which are the newest, and
// counts them as sent. It omits updates that the peer has just sent itself. The caller holds mu.
func (v *View) nextEvents(received []inner.Member) []inner.Member {
	addrs := make([]string, 0, len(v.remainingSends))
	for addr := range v.remainingSends {
		same := func(m inner.Member) bool {
			return m.InnerAddr == addr && m.Version() == v.members[addr].member.Version()
		}
		if !slices.ContainsFunc(received, same) {
			addrs = append(addrs, addr)
		}
	}
	slices.SortFunc(addrs, func(a, b string) int { return v.remainingSends[b] - v.remainingSends[a] })
	addrs = addrs[:min(max(baseEvents, len(addrs)/4), maxEvents, len(addrs))]
	var out []inner.Member
	for _, addr := range addrs {
		out = append(out, v.members[addr].member)
		v.setRemainingSends(addr, v.remainingSends[addr]-1)
	}
	return out
}

// Members returns the entries of this router and of all others in the view, ordered by inner
// address. The slice is shared and must not be changed.
func (v *View) Members() []inner.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.snapshot != nil {
		return v.snapshot
	}
	out := make([]inner.Member, 0, len(v.members)+1)
	for _, addr := range v.sortedAddrs {
		if e := v.members[addr]; !e.removed {
			out = append(out, e.member)
		}
	}
	i, _ := slices.BinarySearchFunc(out, v.self.InnerAddr, func(m inner.Member, addr string) int {
		if m.InnerAddr < addr {
			return -1
		}
		return 1
	})
	v.snapshot = slices.Insert(out, i, v.self)
	return v.snapshot
}

// RecentIDs returns the IDs of the other members and of incarnations that were replaced or removed
// within ForgetAfter.
func (v *View) RecentIDs() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]string, 0, len(v.members)+len(v.replacedIDs))
	for _, addr := range v.sortedAddrs {
		out = append(out, v.members[addr].member.ID)
	}
	for id := range v.replacedIDs {
		out = append(out, id)
	}
	return out
}
