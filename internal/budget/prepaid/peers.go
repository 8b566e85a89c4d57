package prepaid

import (
	"context"
	"fmt"
	"sync"
	"time"

	"rosevalve/internal/platform/timeout"
)

const (
	// minTransferTimeout and maxTransferTimeout limit how long a request waits for one
	// router's answer; the measured latency of the router decides within these limits.
	minTransferTimeout = 60 * time.Millisecond
	maxTransferTimeout = 250 * time.Millisecond
	// totalTimeoutFactor limits all transfer requests for one reservation together, as a
	// multiple of the longest timeout of a single one.
	totalTimeoutFactor = 2.5
	// lateAnswerTimeout is how long a late answer is still accepted, for the requests that
	// follow.
	lateAnswerTimeout = time.Second
)

// transferResult sums up the answers of other routers: the tokens received, the addresses of the
// routers that answered, whether one reported that no tokens are left, and whether one may have
// tokens that it could not transfer.
type transferResult struct {
	received  int64
	answered  []string
	exhausted bool
	held      bool
}

// peerLatencies measures how long other routers take to answer a transfer request.
type peerLatencies struct {
	mu     sync.Mutex // guards byAddr
	byAddr map[string]*timeout.Estimator
}

// meter returns the latency meter of the router at an address.
func (l *peerLatencies) meter(addr string) *timeout.Estimator {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.byAddr[addr]
	if m == nil {
		m = &timeout.Estimator{MinTimeout: minTransferTimeout, MaxTimeout: maxTransferTimeout, InitialTimeout: minTransferTimeout}
		if l.byAddr == nil {
			l.byAddr = make(map[string]*timeout.Estimator)
		}
		l.byAddr[addr] = m
	}
	return m
}

// maxTimeout returns the longest timeout of the routers.
func (l *peerLatencies) maxTimeout(addrs []string) time.Duration {
	out := time.Duration(0)
	for _, addr := range addrs {
		out = max(out, l.meter(addr).Timeout())
	}
	return out
}

// requestTransfers asks the routers one after the other until n tokens have been received,
// which belong to this router from then on.
func (m *Manager) requestTransfers(ctx context.Context, h *holding, homeRouters []string, n int64) transferResult {
	limit := time.Duration(totalTimeoutFactor * float64(m.latencies.maxTimeout(homeRouters)))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var out transferResult
	for _, addr := range homeRouters {
		if out.received >= n || ctx.Err() != nil {
			break
		}
		transfer, ok := m.requestTransfer(ctx, h, addr, n-out.received)
		if !ok {
			continue
		}
		out.answered = append(out.answered, addr)
		out.received += transfer.Tokens
		out.exhausted = out.exhausted || transfer.Exhausted
		out.held = out.held || transfer.Held
	}
	return out
}

// requestTransfer asks one router, and reports whether it answered in time. Tokens that arrive
// later are added to the holding without the request.
func (m *Manager) requestTransfer(ctx context.Context, h *holding, addr string, n int64) (Transfer, bool) {
	meter := m.latencies.meter(addr)
	ctx, cancel := context.WithTimeout(ctx, meter.Timeout())
	defer cancel()
	answer := make(chan *Transfer)
	go func() {
		transfer := m.callPeer(ctx, addr, h.workspace, n, meter)
		select {
		case answer <- transfer:
		case <-ctx.Done():
			if transfer != nil {
				m.acceptTransfer(h, transfer.Tokens)
			}
		}
	}()
	select {
	case transfer := <-answer:
		if transfer == nil {
			return Transfer{}, false
		}
		return *transfer, true
	case <-ctx.Done():
		return Transfer{}, false
	}
}

// callPeer sends a transfer request, which outlives the reservation that needs it. It returns
// nil if there was no answer; the error of a reservation that fails for lack of tokens
// contains the number of routers that answered.
func (m *Manager) callPeer(ctx context.Context, addr, workspace string, n int64, meter *timeout.Estimator) *Transfer {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lateAnswerTimeout)
	defer cancel()
	began := time.Now()
	transfer, err := m.RequestTransfer(ctx, addr, workspace, n)
	if err == nil && (transfer.Tokens < 0 || transfer.Tokens > n) {
		err = fmt.Errorf("router %s has transferred %d of %d requested tokens", addr, transfer.Tokens, n)
		m.OnEvent(Event{Kind: TransferRefused, Workspace: workspace, Tokens: transfer.Tokens, Err: err})
	}
	if err != nil {
		return nil
	}
	meter.ObserveLatency(time.Since(began))
	return &transfer
}
