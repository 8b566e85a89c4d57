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
	helpers    = 2                      // peers that are asked to try a silent router
	pauseSlack = 500 * time.Millisecond // a probe that took this much too long met a pause of this process
)

// rota goes through addresses in a random order, each once in a round.
type rota struct {
	addrs []string
	next  int
}

// targets returns the addresses to probe in this beat: one in this router's region,
// one anywhere, and now and then one that is not in the view.
func (v *View) targets() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []string
	add := func(addr string) {
		if addr != "" && !v.inFlight[addr] && len(v.inFlight) < maxProbes {
			v.inFlight[addr] = true
			out = append(out, addr)
		}
	}
	add(v.take(&v.near, func(m inner.Member) bool { return m.Region == v.self.Region }))
	add(v.take(&v.all, func(inner.Member) bool { return true }))
	if len(out) == 0 && len(v.inFlight) == 0 {
		for _, addr := range v.strangers(maxSeeds) {
			add(addr)
		}
	} else if v.beats%searchEvery == 0 {
		for _, addr := range v.strangers(1) {
			add(addr)
		}
	}
	return out
}

// take returns the rota's next address that is still a member. The caller holds mu.
func (v *View) take(r *rota, wanted func(inner.Member) bool) string {
	for range 2 {
		for r.next < len(r.addrs) {
			addr := r.addrs[r.next]
			r.next++
			if s, ok := v.members[addr]; ok && !s.dead {
				return addr
			}
		}
		r.next = 0
		r.addrs = r.addrs[:0]
		for addr, s := range v.members {
			if !s.dead && wanted(s.member) {
				r.addrs = append(r.addrs, addr)
			}
		}
		slices.Sort(r.addrs)
		v.random.Shuffle(len(r.addrs), func(i, j int) { r.addrs[i], r.addrs[j] = r.addrs[j], r.addrs[i] })
	}
	return ""
}

// strangers returns at most n addresses where a router may be that is not in the
// view; this heals the view after a partition. The caller holds mu.
func (v *View) strangers(n int) []string {
	candidates := slices.Clone(v.Seeds)
	if v.Contacts != nil {
		candidates = append(candidates, v.Contacts()...)
	}
	for _, addr := range v.sorted {
		if v.members[addr].dead {
			candidates = append(candidates, addr)
		}
	}
	candidates = slices.DeleteFunc(candidates, func(addr string) bool {
		s, ok := v.members[addr]
		return addr == v.self.InnerAddr || ok && !s.dead
	})
	v.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(n, len(candidates))]
}

// sample returns at most n random members besides one.
func (v *View) sample(n int, besides string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []string
	for _, addr := range v.sorted {
		s := v.members[addr]
		if addr != besides && !s.dead && s.member.State != inner.Suspect {
			out = append(out, addr)
		}
	}
	v.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// probe asks one router for a sign of life, directly and then through others.
func (v *View) probe(ctx context.Context, addr string) {
	defer v.probed(addr)
	asked, known := v.version(addr)
	began := time.Now()
	if v.exchange(ctx, addr) == nil || !known {
		return
	}
	if v.indirect(ctx, addr) || ctx.Err() != nil {
		return
	}
	if time.Since(began) > 2*probeTimeout+pauseSlack {
		return // this process was paused: the silence proves nothing
	}
	v.suspect(addr, asked)
}

func (v *View) probed(addr string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.inFlight, addr)
}

func (v *View) version(addr string) (inner.Version, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s, ok := v.members[addr]
	if !ok || s.dead {
		return inner.Version{}, false
	}
	return s.member.Version(), true
}

// probeThroughOthers asks a few peers whether they reach the router.
func (v *View) probeThroughOthers(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	peers := v.sample(helpers, addr)
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

// HandleProbe tries another router for a peer.
func (v *View) HandleProbe(ctx context.Context, params json.RawMessage) (any, error) {
	var in inner.Probe
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode probe: %w", err)
	}
	return inner.ProbeAck{Reached: v.exchange(ctx, in.InnerAddr) == nil}, nil
}
