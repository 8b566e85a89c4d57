package prepaid

import (
	"time"

	"rosevalve/internal/budget/demand"
)

// refillDue reports whether less than half of what the demand asks for is there. The
// caller holds h.mu.
func (p *Purse) refillDue(h *holding, now time.Time) bool {
	if h.flight != nil || now.Before(h.refillAt) || p.sealed.Load() {
		return false
	}
	left := p.Prepaid(h.workspace) - h.allotted
	return left > 0 && 2*h.free() < p.Size(demand.Need{Rate: h.asked.Rate(now), Available: left})
}

// refill draws ahead of demand, here and at the other routers that keep tokens of the
// workspace, so that an outage of the store finds all of them filled.
func (p *Purse) refill(h *holding) {
	if p.fill(h) {
		p.invite(h)
	}
}

// fill draws ahead of demand, and reports false if this router is not to.
func (p *Purse) fill(h *holding) bool {
	if _, keeps := p.homes(h); !keeps {
		return false
	}
	h.mu.Lock()
	if h.flight != nil || p.sealed.Load() {
		h.mu.Unlock()
		return false
	}
	h.refillAt = time.Now().Add(refillPause)
	f := &flight{done: make(chan struct{})}
	h.flight = f
	h.mu.Unlock()
	p.fly(h, f)
	return true
}

// invite tells the other routers that keep tokens of the workspace that it is in demand.
// Then the callers of this one find tokens there if it is lost while the store is away.
func (p *Purse) invite(h *holding) {
	now := time.Now()
	h.mu.Lock()
	due := !now.Before(h.inviteAt) && h.drawing != drawFailing
	if due {
		h.inviteAt = now.Add(invitePause)
	}
	h.mu.Unlock()
	if !due {
		return
	}
	homes, _ := p.homes(h)
	for _, addr := range homes {
		p.Invite(addr, h.workspace)
	}
}

// Invited draws tokens of a workspace that is in demand at another router, if this one
// keeps too few.
func (p *Purse) Invited(workspace string) {
	h := p.holding(workspace)
	h.mu.Lock()
	due := p.refillDue(h, time.Now())
	h.mu.Unlock()
	if due {
		p.fill(h)
	}
}
