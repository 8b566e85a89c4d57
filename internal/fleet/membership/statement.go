package membership

import (
	"context"
	"slices"
	"sync"

	"rosevalve/internal/protocol/inner"
)

// Leave announces that this router takes no new callers, to nearby peers at once.
func (v *View) Leave(ctx context.Context) { v.announce(ctx, inner.Leaving) }

// Quit announces that this router is gone; it comes last.
func (v *View) Quit(ctx context.Context) { v.announce(ctx, inner.Dead) }

// SetReady tells the fleet whether this router can serve callers of routed requests.
func (v *View) SetReady(ready bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.self.Ready == ready {
		return
	}
	v.self.Ready = ready
	v.restate()
}

// SetBusy tells the fleet whether callers shall prefer other routers.
func (v *View) SetBusy(busy bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.self.Busy == busy {
		return
	}
	v.self.Busy = busy
	v.restate()
}

// announce changes this router's state and tells a bounded number of peers directly.
func (v *View) announce(ctx context.Context, state inner.MemberState) {
	v.mu.Lock()
	v.self.State = state
	v.restate()
	v.mu.Unlock()
	var told sync.WaitGroup
	for _, addr := range v.sample(maxAnnounce, "") {
		told.Go(func() { _ = v.exchange(ctx, addr) })
	}
	told.Wait()
}

// restate makes a new statement of this router's entry. The caller holds mu.
func (v *View) restate() {
	v.self.Counter++
	v.snapshot = nil
}

// merge takes over a statement that is newer than the one known, and reports whether it
// was. The caller holds mu.
func (v *View) merge(m inner.Member) bool {
	if m.InnerAddr == v.self.InnerAddr {
		v.mergeSelf(m)
		return false
	}
	s, known := v.members[m.InnerAddr]
	if known && !v.newer(m.Version(), s.member.Version()) {
		return false
	}
	if !known {
		if m.State == inner.Dead {
			return false
		}
		s = &seen{}
		v.insert(m.InnerAddr, s)
	}
	if known && s.member.ID != m.ID {
		v.replacedIDs[s.member.ID] = v.awake
	}
	s.member = m
	s.dead = false
	s.since = v.awake
	v.pending[m.InnerAddr] = v.sends()
	v.snapshot = nil
	if m.State == inner.Dead {
		v.remove(s)
	}
	return true
}

// mergeSelf hears what others say of this router: it refutes suspicions, and notes
// an incarnation that would shadow it. The caller holds mu.
func (v *View) mergeSelf(m inner.Member) {
	if m.ID != v.self.ID {
		if m.Epoch >= v.self.Epoch {
			v.contest = m.Epoch
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

// settleContest decides between this router and another incarnation at its address:
// the one that answers there is the current one. It does not compare clocks.
func (v *View) settleContest(ctx context.Context) {
	v.mu.Lock()
	contest, self, settled := v.contest, v.self, v.replaced
	v.contest = 0
	v.mu.Unlock()
	if contest == 0 || settled {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var answer inner.Hello
	hello := inner.Hello{ProtocolVersion: inner.ProtocolVersion, Sender: self}
	err := v.Call(callCtx, self.InnerAddr, inner.MethodHello, hello, &answer)
	if err == nil && answer.Sender.ID != self.ID {
		v.giveWay()
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.self.Epoch = max(v.self.Epoch, contest+1)
	v.restate()
}

// giveWay makes a replaced router leave.
func (v *View) giveWay() {
	v.mu.Lock()
	v.replaced = true
	v.self.State = inner.Leaving
	v.snapshot = nil
	v.mu.Unlock()
	if v.OnReplaced != nil {
		v.OnReplaced()
	}
}

// suspect notes that the router did not answer, unless it has made a newer statement since.
func (v *View) suspect(addr string, asked inner.Version) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s, ok := v.members[addr]
	if !ok || s.dead || s.member.State == inner.Suspect || s.member.Version() != asked {
		return
	}
	s.member.State = inner.Suspect
	s.since = v.awake
	v.pending[addr] = v.sends()
	v.counts.Suspicions++
	v.snapshot = nil
}

// remove takes a router out of the view and remembers that. The caller holds mu.
func (v *View) remove(s *seen) {
	s.dead = true
	s.since = v.awake
	v.snapshot = nil
}

// insert adds an address to the members. The caller holds mu.
func (v *View) insert(addr string, s *seen) {
	v.members[addr] = s
	i, _ := slices.BinarySearch(v.sorted, addr)
	v.sorted = slices.Insert(v.sorted, i, addr)
}

// forget drops all that is known of an address. The caller holds mu.
func (v *View) forget(addr string) {
	delete(v.members, addr)
	delete(v.pending, addr)
	if i, ok := slices.BinarySearch(v.sorted, addr); ok {
		v.sorted = slices.Delete(v.sorted, i, i+1)
	}
}

// events returns the freshest statements about others, but for those that were just told,
// and counts them as sent. The caller holds mu.
func (v *View) events(told []inner.Member) []inner.Member {
	addrs := make([]string, 0, len(v.pending))
	for addr := range v.pending {
		same := func(m inner.Member) bool {
			return m.InnerAddr == addr && m.Version() == v.members[addr].member.Version()
		}
		if !slices.ContainsFunc(told, same) {
			addrs = append(addrs, addr)
		}
	}
	slices.SortFunc(addrs, func(a, b string) int { return v.pending[b] - v.pending[a] })
	addrs = addrs[:min(max(fewEvents, len(addrs)/4), maxEvents, len(addrs))]
	var out []inner.Member
	for _, addr := range addrs {
		out = append(out, v.members[addr].member)
		v.setPending(addr, v.pending[addr]-1)
	}
	return out
}

// Members returns this router and the others with their believed states, ordered by
// inner address. The slice is shared and must not be changed.
func (v *View) Members() []inner.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.snapshot != nil {
		return v.snapshot
	}
	out := make([]inner.Member, 0, len(v.members)+1)
	for _, addr := range v.sorted {
		if s := v.members[addr]; !s.dead {
			out = append(out, s.member)
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

// Recent returns the IDs of the other members, and of incarnations that have ended or were
// removed and are not forgotten yet.
func (v *View) Recent() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]string, 0, len(v.members)+len(v.replacedIDs))
	for _, addr := range v.sorted {
		out = append(out, v.members[addr].member.ID)
	}
	for id := range v.replacedIDs {
		out = append(out, id)
	}
	return out
}
