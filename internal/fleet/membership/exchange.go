package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"rosevalve/internal/protocol/inner"
)

// exchange sends a heartbeat to addr and merges the updates of the answer.
func (v *View) exchange(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, v.heartbeatTimeout())
	defer cancel()
	out := v.newHeartbeat()
	var ack inner.HeartbeatAck
	if err := v.Call(ctx, addr, inner.MethodHeartbeat, out, &ack); err != nil {
		return fmt.Errorf("send heartbeat to %s: %w", addr, err)
	}
	if ack.Sender.InnerAddr != addr {
		return fmt.Errorf("router at %s reports inner address %s", addr, ack.Sender.InnerAddr)
	}
	v.notifyConfigVersion(ack.Sender, ack.Config)
	v.notifyEvacuation(ack.Sender, ack.Evacuation)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordContact(ack.Sender)
	v.discountKnown(out.Events, ack.Known)
	v.mergeAll(ack.Events)
	v.mergeMissing(ack.Missing)
	v.suspectOutdated(ack.Unknown)
	v.advancePage(out.Page, ack.Missing)
	return nil
}

// HandleHeartbeat merges the updates of a peer's heartbeat and returns the answer.
func (v *View) HandleHeartbeat(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.Heartbeat
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode heartbeat: %w", err)
	}
	v.notifyConfigVersion(in.Sender, in.Config)
	v.notifyEvacuation(in.Sender, in.Evacuation)
	config, evacuation := v.configVersion(), v.evacuation()
	v.mu.Lock()
	defer v.mu.Unlock()
	ack := inner.HeartbeatAck{Config: config, Evacuation: evacuation}
	if e, ok := v.members[in.Sender.InnerAddr]; ok && v.mustRefute(e, in.Sender) {
		ack.Events = append(ack.Events, v.claimToRefute(e))
	}
	v.recordContact(in.Sender)
	ack.Known = v.mergeAll(in.Events)
	ack.Events = append(ack.Events, v.nextEvents(in.Events)...)
	if in.Page != nil {
		ack.Missing = v.missingFrom(*in.Page)
		ack.Unknown = v.unknownFrom(*in.Page)
	}
	ack.Sender = v.self
	return ack, nil
}

// mustRefute reports whether this view has the sender as suspected, removed or superseded by
// another incarnation with an epoch not lower than its own. The answer must then report that to
// the sender, so that it can refute it. The caller holds mu.
func (v *View) mustRefute(e *memberEntry, sender inner.Member) bool {
	if e.member.ID != sender.ID {
		return e.member.Epoch >= sender.Epoch
	}
	suspected := e.removed || e.member.State == inner.Suspect
	return suspected && e.member.Counter >= sender.Counter
}

// claimToRefute returns the update that the sender must refute. The caller holds mu.
func (v *View) claimToRefute(e *memberEntry) inner.Member {
	m := e.member
	if m.State != inner.Dead {
		m.State = inner.Suspect
	}
	return m
}

// newHeartbeat returns the next heartbeat and counts its updates as sent.
func (v *View) newHeartbeat() inner.Heartbeat {
	config, evacuation := v.configVersion(), v.evacuation()
	v.mu.Lock()
	defer v.mu.Unlock()
	out := inner.Heartbeat{Sender: v.self, Events: v.nextEvents(nil), Config: config, Evacuation: evacuation}
	if v.pagesDiffer || v.sweepPages > 0 || v.rounds%pageRounds == 0 {
		out.Page = v.nextPage()
	}
	return out
}

// configVersion returns the version of this router's configuration, or 0 if it has none.
func (v *View) configVersion() uint64 {
	if v.ConfigVersion == nil {
		return 0
	}
	return v.ConfigVersion()
}

// notifyConfigVersion passes the configuration version of a peer to OnConfigVersion.
func (v *View) notifyConfigVersion(sender inner.Member, version uint64) {
	if v.OnConfigVersion != nil && version > 0 {
		v.OnConfigVersion(sender.InnerAddr, version)
	}
}

// evacuation returns the position of this router's newest row about an evacuation, or nil if it has none.
func (v *View) evacuation() *inner.TablePosition {
	if v.Evacuation == nil {
		return nil
	}
	p := v.Evacuation()
	if p.Version == 0 {
		return nil
	}
	return &p
}

// notifyEvacuation passes the position of a peer's newest row about an evacuation to OnEvacuation.
func (v *View) notifyEvacuation(sender inner.Member, p *inner.TablePosition) {
	if v.OnEvacuation != nil && p != nil {
		v.OnEvacuation(sender.InnerAddr, *p)
	}
}

// recordContact merges a peer's own entry and records the time of the contact. The caller holds
// mu.
func (v *View) recordContact(sender inner.Member) {
	v.merge(sender)
	if e, ok := v.members[sender.InnerAddr]; ok && e.member.ID == sender.ID {
		e.lastContact = v.activeTime
		e.outdated = false
	}
}

// mergeAll merges updates about other routers and returns a bit mask of those that were already
// known. The caller holds mu.
func (v *View) mergeAll(members []inner.Member) (known uint64) {
	for i, m := range members {
		if !v.merge(m) {
			known |= 1 << i
		}
	}
	v.discountKnown(members, known)
	return known
}

// discountKnown counts updates that a peer already knew as sent once more, since most other
// routers probably know them too. The caller holds mu.
func (v *View) discountKnown(members []inner.Member, known uint64) {
	for i, m := range members {
		if known&(1<<i) == 0 {
			continue
		}
		left, pending := v.remainingSends[m.InnerAddr]
		if !pending || v.members[m.InnerAddr].member.Version() != m.Version() {
			continue
		}
		v.setRemainingSends(m.InnerAddr, left-1)
	}
}

// setRemainingSends sets how many more times the update about addr is sent. The caller holds mu.
func (v *View) setRemainingSends(addr string, times int) {
	if times <= 0 {
		delete(v.remainingSends, addr)
		return
	}
	v.remainingSends[addr] = times
}

// mergeMissing merges the updates received in answer to a page. Most of the fleet has them, so
// they are not passed on as new ones. The caller holds mu.
func (v *View) mergeMissing(members []inner.Member) {
	for _, m := range members {
		_, fresh := v.remainingSends[m.InnerAddr]
		v.merge(m)
		if !fresh {
			delete(v.remainingSends, m.InnerAddr)
		}
	}
}

// nextPage returns the versions of the next part of the view, by which a peer finds the updates
// that this view lacks. The caller holds mu.
func (v *View) nextPage() *inner.Page {
	p := &inner.Page{After: v.pageCursor, Outdated: v.sweepPages > 0}
	i, found := slices.BinarySearch(v.sortedAddrs, v.pageCursor)
	if found {
		i++
	}
	for ; i < len(v.sortedAddrs) && len(p.Versions) < pageSize; i++ {
		p.Versions = append(p.Versions, v.members[v.sortedAddrs[i]].member.Version())
	}
	if i < len(v.sortedAddrs) {
		p.Upto = v.sortedAddrs[i-1]
	}
	return p
}

// advancePage moves the cursor behind the page, or behind the last received update if the answer
// was full and may have omitted some. The caller holds mu.
func (v *View) advancePage(p *inner.Page, received []inner.Member) {
	if p == nil || p.After != v.pageCursor {
		return
	}
	v.sweepPages = max(0, v.sweepPages-1)
	v.pagesDiffer = len(received) > 0
	v.pageCursor = p.Upto
	if len(received) == maxMissing {
		v.pageCursor = received[maxMissing-1].InnerAddr
	}
}

// missingFrom returns the updates of this view in the range of page p that p lacks or has in an
// older version, in the order of their addresses, at most maxMissing. Of a router that was removed it
// returns that only if p has it. The caller holds mu.
func (v *View) missingFrom(p inner.Page) []inner.Member {
	known := make(map[string]inner.Version, len(p.Versions))
	for _, version := range p.Versions {
		known[version.InnerAddr] = version
	}
	var out []inner.Member
	i, _ := slices.BinarySearch(v.sortedAddrs, p.After)
	for ; i < len(v.sortedAddrs) && len(out) < maxMissing; i++ {
		addr := v.sortedAddrs[i]
		if p.Upto != "" && addr > p.Upto {
			break
		}
		e := v.members[addr]
		version, ok := known[addr]
		if ok && version == e.member.Version() {
			e.outdated = false
		}
		if addr == p.After || !ok && (e.removed || e.outdated) || ok && !v.newer(e.member.Version(), version) {
			continue
		}
		out = append(out, e.member)
	}
	return out
}

// unknownFrom returns the addresses of a page that this view does not have, if the sender was paused. The caller holds
// mu.
func (v *View) unknownFrom(p inner.Page) []string {
	if !p.Outdated {
		return nil
	}
	var out []string
	for _, version := range p.Versions {
		if _, ok := v.members[version.InnerAddr]; !ok && version.InnerAddr != v.self.InnerAddr {
			out = append(out, version.InnerAddr)
		}
	}
	return out
}

// suspectOutdated marks as suspected the routers of which nothing was heard since a pause of this process and which a
// peer does not know: they may have ended so long ago that it has forgotten them. The caller holds mu.
func (v *View) suspectOutdated(addrs []string) {
	for _, addr := range addrs {
		if e, ok := v.members[addr]; ok && e.outdated && !e.removed && e.member.State == inner.Alive {
			e.member.State = inner.Suspect
			e.stateSince = v.activeTime
			v.snapshot = nil
		}
	}
}
