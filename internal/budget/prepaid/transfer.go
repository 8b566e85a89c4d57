package prepaid

import (
	"context"
	"fmt"
	"time"

	"rosevalve/internal/budget/amount"
)

const (
	// transferTimeout is how long a router that is asked for tokens waits for the store.
	transferTimeout = 40 * time.Millisecond
	// unusedReceivedAge is how long received tokens may stay unused at a router that holds no
	// tokens of the workspace.
	unusedReceivedAge = 500 * time.Millisecond
	// holdingRequestRate is the number of requests per second above which a router holds
	// tokens of a workspace whatever other routers do.
	holdingRequestRate = 5
	// idleHoldingAge is how long a holding may stay idle at such a router.
	idleHoldingAge = 2 * time.Second
)

// Transfer is the answer to a transfer request.
type Transfer struct {
	// Tokens is the number of tokens transferred, which belong to the receiver from now on.
	Tokens int64
	// Exhausted reports that neither the sender nor the store has any tokens left.
	Exhausted bool
	// Held reports that the sender may have tokens left that it can not transfer now.
	Held bool
}

// SendTransfer transfers up to n tokens of the workspace from this incarnation's holding to
// another router. They count as spent from then on, whether or not the answer arrives.
func (m *Manager) SendTransfer(ctx context.Context, workspace string, n int64) Transfer {
	n = min(n, m.prepaidTotal(workspace))
	if n <= 0 {
		return Transfer{}
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	h := m.holding(workspace)
	h.mu.Lock()
	h.demand.RecordRequest(n, time.Now())
	h.mu.Unlock()
	transfer := Transfer{Tokens: m.transferAll(ctx, h, n)}
	if transfer.Tokens == 0 {
		transfer.Tokens = m.transferFree(h, n)
		transfer.Held = h.mayHold(n - transfer.Tokens)
		transfer.Exhausted = !transfer.Held && m.journal.isOpen() && m.drawableInStore(h) <= 0
	}
	if transfer.Tokens > 0 {
		m.OnEvent(Event{Kind: TransferSent, Workspace: workspace, Tokens: transfer.Tokens})
	}
	return transfer
}

// transferAll takes exactly n tokens for a transfer, drawing them if necessary, or none.
func (m *Manager) transferAll(ctx context.Context, h *holding, n int64) int64 {
	for range maxReserveAttempts {
		r, err := m.reserveHeld(ctx, h, n, m.maxJournalWait())
		if r != nil {
			r.Bill(n)
			return n
		}
		if err != nil || m.awaitDraw(ctx, h, n) != nil {
			return 0
		}
	}
	return 0
}

// transferFree takes up to n tokens that are free and within the usage limit for a transfer.
func (m *Manager) transferFree(h *holding, n int64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.takeFree(n, m.journal.usageLimit(h.workspace, h.drawn, time.Now()))
}

// takeFree takes up to n tokens that are free and within the usage limit. The caller holds mu.
func (h *holding) takeFree(n, allowed int64) int64 {
	fromReceived := min(n, h.received)
	h.received -= fromReceived
	own := max(0, min(n-fromReceived, h.free(), allowed-h.spent))
	if len(h.waiting) > 0 {
		own = 0
	}
	h.spent += own
	return fromReceived + own
}

// AcceptTransfer adds tokens that another router transferred here without a request. It refuses
// more than the total, which no router can hold.
func (m *Manager) AcceptTransfer(workspace string, n int64) error {
	if total := m.prepaidTotal(workspace); n < 0 || n > total {
		return fmt.Errorf("transfer of %d tokens of workspace %q, whose total is %d", n, workspace, total)
	}
	m.acceptTransfer(m.holding(workspace), n)
	return nil
}

// acceptTransfer adds received tokens.
func (m *Manager) acceptTransfer(h *holding, n int64) {
	if n <= 0 {
		return
	}
	h.mu.Lock()
	h.received = amount.Add(h.received, n)
	h.mu.Unlock()
	m.OnEvent(Event{Kind: TransferReceived, Workspace: h.workspace, Tokens: n})
}

// homeRouters returns the other home routers of the workspace, and whether this router holds
// its tokens too: if it is a home router, if there are no others, or if it receives much of the
// demand, as when all callers of a workspace use one router.
func (m *Manager) homeRouters(h *holding) (others []string, holdsHere bool) {
	others, self := m.HomeRouters(h.workspace)
	h.mu.Lock()
	defer h.mu.Unlock()
	return others, self || len(others) == 0 || h.demand.RequestRate(time.Now()) > holdingRequestRate
}

// offerTransfer transfers tokens of the workspace to the first of its other home routers, and
// reports whether that router has certainly accepted them. No further router is tried, since
// one that does not answer may have accepted them.
func (m *Manager) offerTransfer(ctx context.Context, workspace string, n int64) bool {
	homeRouters, _ := m.HomeRouters(workspace)
	if len(homeRouters) == 0 {
		return false
	}
	return m.OfferTransfer(ctx, homeRouters[0], workspace, n)
}

// ReleaseIdle releases what this router need not keep: received tokens that were not used, and
// holdings of workspaces whose tokens other routers hold.
func (m *Manager) ReleaseIdle(ctx context.Context) {
	m.init()
	now := time.Now()
	for _, h := range m.allHoldings() {
		if _, holdsHere := m.homeRouters(h); holdsHere {
			continue
		}
		if n := h.takeUnusedReceived(now); n > 0 {
			m.offerTransfer(ctx, h.workspace, n)
		}
		if h.isIdle(now) && !m.journal.storeUnreachable() {
			m.reportDraw(h, 0, m.returnFree(ctx, h, keepNothing))
		}
	}
}

// takeUnusedReceived removes and returns the received tokens if there was no recent demand.
func (h *holding) takeUnusedReceived(now time.Time) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.demand.LastRequestAt()) < unusedReceivedAge {
		return 0
	}
	n := h.received
	h.received = 0
	return n
}

// isIdle reports whether the holding's own tokens have had no recent demand.
func (h *holding) isIdle(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.drawn > 0 && len(h.waiting) == 0 && now.Sub(h.demand.LastRequestAt()) > idleHoldingAge
}
