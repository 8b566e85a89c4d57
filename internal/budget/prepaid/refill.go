package prepaid

import (
	"time"

	"rosevalve/internal/budget/demand"
)

// refillDue reports whether the holding has less than half the tokens that the demand calls
// for. The caller holds h.mu.
func (m *Manager) refillDue(h *holding, now time.Time) bool {
	if h.inflight != nil || now.Before(h.nextRefill) || m.headroomRemoved.Load() {
		return false
	}
	left := h.total.drawable(m.prepaidTotal(h.workspace), m.journal.storeClockNow())
	return left > 0 && 2*h.free() < m.DrawSize(demand.DrawInput{Rate: h.demand.TokenRate(now), Available: left})
}

// refill draws ahead of demand, here and at the other home routers of the workspace, so
// that all of them have tokens if the store becomes unreachable.
func (m *Manager) refill(h *holding) {
	if m.drawAhead(h) {
		m.sendDrawHints(h)
	}
}

// drawAhead draws ahead of demand. It reports false if this router must not.
func (m *Manager) drawAhead(h *holding) bool {
	if _, holdsHere := m.homeRouters(h); !holdsHere {
		return false
	}
	h.mu.Lock()
	if h.inflight != nil || m.headroomRemoved.Load() {
		h.mu.Unlock()
		return false
	}
	h.nextRefill = time.Now().Add(refillInterval)
	d := &inflightCommit{done: make(chan struct{})}
	h.inflight = d
	h.mu.Unlock()
	m.runDraw(h, d)
	return true
}

// sendDrawHints asks the other home routers of the workspace to draw more tokens. The callers
// of this router then find tokens there if it is lost while the store is unreachable.
func (m *Manager) sendDrawHints(h *holding) {
	now := time.Now()
	h.mu.Lock()
	due := !now.Before(h.nextDrawHint) && h.lastDraw != drawErrored
	if due {
		h.nextDrawHint = now.Add(drawHintInterval)
	}
	h.mu.Unlock()
	if !due {
		return
	}
	homeRouters, _ := m.homeRouters(h)
	for _, addr := range homeRouters {
		m.SendDrawHint(addr, h.workspace)
	}
}

// DrawOnHint draws tokens of a workspace that has demand at another router, if this one holds
// too few.
func (m *Manager) DrawOnHint(workspace string) {
	h := m.holding(workspace)
	h.mu.Lock()
	due := m.refillDue(h, time.Now())
	h.mu.Unlock()
	if due {
		m.drawAhead(h)
	}
}
