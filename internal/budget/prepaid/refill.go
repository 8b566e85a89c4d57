package prepaid

import (
	"time"

	"rosevalve/internal/budget/demand"
)

// refillDue reports whether the holding has less than half the tokens that the demand calls
// for. The caller holds h.mu.
func (p *Manager) refillDue(h *holding, now time.Time) bool {
	if h.inflight != nil || now.Before(h.nextRefill) || p.sealed.Load() {
		return false
	}
	left := p.PrepaidTotal(h.workspace) - h.allotted
	return left > 0 && 2*h.free() < p.DrawSize(demand.DrawInput{Rate: h.demand.TokenRate(now), Available: left})
}

// refill draws ahead of demand, here and at the other routers that hold tokens of the
// workspace, so that all of them have tokens if the store becomes unreachable.
func (p *Manager) refill(h *holding) {
	if p.drawAhead(h) {
		p.invite(h)
	}
}

// drawAhead draws ahead of demand. It reports false if this router must not.
func (p *Manager) drawAhead(h *holding) bool {
	if _, holdsHere := p.holders(h); !holdsHere {
		return false
	}
	h.mu.Lock()
	if h.inflight != nil || p.sealed.Load() {
		h.mu.Unlock()
		return false
	}
	h.nextRefill = time.Now().Add(refillInterval)
	d := &inflightDraw{done: make(chan struct{})}
	h.inflight = d
	h.mu.Unlock()
	p.runDraw(h, d)
	return true
}

// invite asks the other routers that hold tokens of the workspace to draw more. The callers of
// this router then find tokens there if it is lost while the store is unreachable.
func (p *Manager) invite(h *holding) {
	now := time.Now()
	h.mu.Lock()
	due := !now.Before(h.nextInvite) && h.lastDraw != drawErrored
	if due {
		h.nextInvite = now.Add(inviteInterval)
	}
	h.mu.Unlock()
	if !due {
		return
	}
	holders, _ := p.holders(h)
	for _, addr := range holders {
		p.SendDrawHint(addr, h.workspace)
	}
}

// DrawOnHint draws tokens of a workspace that has demand at another router, if this one holds too
// few.
func (p *Manager) DrawOnHint(workspace string) {
	h := p.holding(workspace)
	h.mu.Lock()
	due := p.refillDue(h, time.Now())
	h.mu.Unlock()
	if due {
		p.drawAhead(h)
	}
}
