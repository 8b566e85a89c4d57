package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"rosevalve/internal/protocol/inner"
)

// exchange sends one heartbeat and takes over what the answer brings.
func (v *View) exchange(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, v.patience())
	defer cancel()
	out := v.heartbeat()
	var ack inner.HeartbeatAck
	if err := v.Call(ctx, addr, inner.MethodHeartbeat, out, &ack); err != nil {
		return fmt.Errorf("send heartbeat to %s: %w", addr, err)
	}
	if ack.Sender.InnerAddr != addr {
		return fmt.Errorf("router at %s says that its address is %s", addr, ack.Sender.InnerAddr)
	}
	v.hearConfig(ack.Sender, ack.Config)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hear(ack.Sender)
	v.tire(out.Events, ack.Known)
	v.mergeAll(ack.Events)
	v.mergeStored(ack.Missing)
	v.turnPage(out.Page, ack.Missing)
	return nil
}

// HandleHeartbeat answers a peer's heartbeat.
func (v *View) HandleHeartbeat(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.Heartbeat
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode heartbeat: %w", err)
	}
	v.hearConfig(in.Sender, in.Config)
	config := v.configVersion()
	v.mu.Lock()
	defer v.mu.Unlock()
	ack := inner.HeartbeatAck{Config: config}
	if s, ok := v.members[in.Sender.InnerAddr]; ok && v.doubts(s, in.Sender) {
		ack.Events = append(ack.Events, v.doubt(s))
	}
	v.hear(in.Sender)
	ack.Known = v.mergeAll(in.Events)
	ack.Events = append(ack.Events, v.events(in.Events)...)
	if in.Page != nil {
		ack.Missing = v.missing(*in.Page)
	}
	ack.Sender = v.self
	return ack, nil
}

// doubts reports whether the sender must be told that it is suspected, removed or
// shadowed, so that it can refute. The caller holds mu.
func (v *View) doubts(s *seen, sender inner.Member) bool {
	if s.member.ID != sender.ID {
		return s.member.Epoch >= sender.Epoch
	}
	silenced := s.dead || s.member.State == inner.Suspect
	return silenced && s.member.Counter >= sender.Counter
}

// doubt returns the statement that the sender must refute. The caller holds mu.
func (v *View) doubt(s *seen) inner.Member {
	m := s.member
	if m.State != inner.Dead {
		m.State = inner.Suspect
	}
	return m
}

func (v *View) heartbeat() inner.Heartbeat {
	config := v.configVersion()
	v.mu.Lock()
	defer v.mu.Unlock()
	out := inner.Heartbeat{Sender: v.self, Events: v.events(nil), Config: config}
	if v.paging || v.beats%pageEvery == 0 {
		out.Page = v.page()
	}
	return out
}

func (v *View) configVersion() uint64 {
	if v.ConfigVersion == nil {
		return 0
	}
	return v.ConfigVersion()
}

func (v *View) hearConfig(sender inner.Member, version uint64) {
	if v.OnConfigVersion != nil && version > 0 {
		v.OnConfigVersion(sender.InnerAddr, version)
	}
}

// hear takes over what a router says of itself. The caller holds mu.
func (v *View) hear(sender inner.Member) {
	v.merge(sender)
	if s, ok := v.members[sender.InnerAddr]; ok && s.member.ID == sender.ID {
		s.heard = v.awake
	}
}

// mergeAll takes over statements about others, and marks those that were no news by a bit
// each. The caller holds mu.
func (v *View) mergeAll(members []inner.Member) (known uint64) {
	for i, m := range members {
		if !v.merge(m) {
			known |= 1 << i
		}
	}
	v.tire(members, known)
	return known
}

// tire counts statements as sent once more that another router has known already, since
// most of the others will know them too. The caller holds mu.
func (v *View) tire(members []inner.Member, known uint64) {
	for i, m := range members {
		if known&(1<<i) == 0 {
			continue
		}
		left, pending := v.pending[m.InnerAddr]
		if !pending || v.members[m.InnerAddr].member.Version() != m.Version() {
			continue
		}
		v.setPending(m.InnerAddr, left-1)
	}
}

// setPending sets how often a statement is still sent. The caller holds mu.
func (v *View) setPending(addr string, times int) {
	if times <= 0 {
		delete(v.pending, addr)
		return
	}
	v.pending[addr] = times
}

// mergeStored takes over statements that a page brought. Most of the fleet has them,
// so they are not sent on as fresh ones. The caller holds mu.
func (v *View) mergeStored(members []inner.Member) {
	for _, m := range members {
		_, fresh := v.pending[m.InnerAddr]
		v.merge(m)
		if !fresh {
			delete(v.pending, m.InnerAddr)
		}
	}
}

// page describes the next part of the view. The caller holds mu.
func (v *View) page() *inner.Page {
	p := &inner.Page{After: v.cursor}
	i, found := slices.BinarySearch(v.sorted, v.cursor)
	if found {
		i++
	}
	for ; i < len(v.sorted) && len(p.Versions) < pageSize; i++ {
		p.Versions = append(p.Versions, v.members[v.sorted[i]].member.Version())
	}
	if i < len(v.sorted) {
		p.Upto = v.sorted[i-1]
	}
	return p
}

// turnPage moves on to the next part, or to the first statement that was not brought
// because the answer was full. The caller holds mu.
func (v *View) turnPage(p *inner.Page, brought []inner.Member) {
	if p == nil || p.After != v.cursor {
		return
	}
	v.paging = len(brought) > 0
	v.cursor = p.Upto
	if len(brought) == maxMissing {
		v.cursor = brought[maxMissing-1].InnerAddr
	}
}

// missing returns what this view has in the page's range and the page lacks, ordered
// by address. The caller holds mu.
func (v *View) missing(p inner.Page) []inner.Member {
	known := make(map[string]inner.Version, len(p.Versions))
	for _, version := range p.Versions {
		known[version.InnerAddr] = version
	}
	var out []inner.Member
	i, _ := slices.BinarySearch(v.sorted, p.After)
	for ; i < len(v.sorted) && len(out) < maxMissing; i++ {
		addr := v.sorted[i]
		if p.Upto != "" && addr > p.Upto {
			break
		}
		s := v.members[addr]
		if version, ok := known[addr]; addr == p.After || s.dead || ok && !v.newer(s.member.Version(), version) {
			continue
		}
		out = append(out, s.member)
	}
	return out
}
