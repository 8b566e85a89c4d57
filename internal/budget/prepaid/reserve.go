package prepaid

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxTries bounds the draws and the gifts that one reservation waits for.
	maxTries = 3
	// coverTime is how long a reservation waits for the journal before others are asked.
	coverTime = 40 * time.Millisecond
	// refillPause is the least time between two draws ahead of demand.
	refillPause = time.Second
)

// errUncovered reports that the journal was not written in time for a reservation.
var errUncovered = errors.New("journal does not cover the reservation")

// Reservation is the most that one request can use. One goroutine at a time may use it.
type Reservation struct {
	purse     *Purse
	holding   *holding
	own, gift int64
	ended     bool
}

// Tokens returns how many tokens are reserved.
func (r *Reservation) Tokens() int64 { return r.own + r.gift }

// Reserve takes n tokens of the workspace and returns when they may be used.
//
// Errors are ErrExhausted and ErrUnavailable.
func (p *Purse) Reserve(ctx context.Context, workspace string, n int64) (*Reservation, error) {
	h := p.holding(workspace)
	h.mu.Lock()
	h.asked.Ask(n, time.Now())
	h.mu.Unlock()
	var lastErr error
	for range maxTries {
		r, err := p.take(ctx, h, n)
		if r != nil {
			return r, nil
		}
		if err == nil {
			err = p.awaitDraw(ctx, h, n)
		}
		if err == nil {
			continue
		}
		lastErr = err
		short := h.short(n, err)
		if short == 0 {
			continue
		}
		given, all := p.Beg(ctx, workspace, short)
		p.accept(h, given)
		if given < short {
			return nil, p.refusal(ctx, workspace, n, lastErr, all)
		}
	}
	return nil, p.refusal(ctx, workspace, n, lastErr, false)
}

// take reserves n tokens that are there, and waits a moment until they are covered. It
// returns nothing if they are not there, and errUncovered if they are not covered.
func (p *Purse) take(ctx context.Context, h *holding, n int64) (*Reservation, error) {
	now := time.Now()
	h.mu.Lock()
	r, w := h.take(n, p.journal.allows(h.workspace, h.drawn, now))
	ahead := r != nil && p.uncovered(h, now)
	refill := r != nil && p.refillDue(h, now)
	h.mu.Unlock()
	if r == nil {
		return nil, nil
	}
	r.purse = p
	if w != nil || ahead {
		p.journal.kick()
	}
	if refill {
		go p.refill(h)
	}
	if w == nil || p.awaitCover(ctx, w) || !h.withdraw(r, w) {
		return r, nil
	}
	return nil, errUncovered
}

// awaitCover waits a moment until a reservation is covered.
func (p *Purse) awaitCover(ctx context.Context, w *waiter) bool {
	timer := time.NewTimer(coverTime)
	defer timer.Stop()
	select {
	case <-w.done:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// uncovered reports whether the journal should be written before the next request
// needs it. The caller holds h.mu.
func (p *Purse) uncovered(h *holding, now time.Time) bool {
	ahead := h.headroom(now) / 2
	return min(h.drawn, h.wanted()+ahead) > p.journal.covered(h.workspace)
}

// short returns how many of n tokens must come from others after the failure.
func (h *holding) short(n int64, cause error) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if errors.Is(cause, errUncovered) {
		return max(0, n-h.gifts)
	}
	return max(0, n-h.gifts-max(0, h.free()))
}

// refusal says why no tokens could be had.
func (p *Purse) refusal(ctx context.Context, workspace string, n int64, drawErr error, all bool) error {
	cause := ErrUnavailable
	if isExhausted(drawErr) && all && ctx.Err() == nil {
		cause = ErrExhausted
	}
	return fmt.Errorf("reserve %d tokens of workspace %q: %w: %w", n, workspace, cause, drawErr)
}

// Release gives back the tokens of a request that surely did not run.
func (r *Reservation) Release() { r.Bill(0) }

// Bill counts what the request has used, once; the rest is free again.
func (r *Reservation) Bill(used int64) {
	if r.ended {
		return
	}
	r.ended = true
	used = min(used, r.Tokens())
	fromGift := min(used, r.gift)
	h := r.holding
	h.mu.Lock()
	h.gifts += r.gift - fromGift
	h.spent -= r.own - (used - fromGift)
	waiting := len(h.waiting) > 0
	if waiting {
		h.grant(r.purse.journal.allows(h.workspace, h.drawn, time.Now()))
	}
	h.mu.Unlock()
}
