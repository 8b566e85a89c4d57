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
	// comeBackRetry is when to look again for tokens of an ended life.
	comeBackRetry = 400 * time.Millisecond
	// invitePause is the least time between two invitations to draw.
	invitePause = time.Second
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

// ShortageError reports that tokens could not be reserved.
type ShortageError struct {
	// Workspace is whose tokens were wanted, and Tokens how many.
	Workspace string
	Tokens    int64
	// After is when the tokens may be had, as far as this life can tell; 0 if it can not.
	After time.Duration
	// Err is ErrExhausted or ErrUnavailable, with the cause.
	Err error
}

// Error says what was wanted and why it could not be had.
func (e *ShortageError) Error() string {
	return fmt.Sprintf("reserve %d tokens of workspace %q: %v", e.Tokens, e.Workspace, e.Err)
}

// Unwrap returns the cause.
func (e *ShortageError) Unwrap() error { return e.Err }

// Reserve takes n tokens of the workspace and returns when they may be used. It waits
// for up to patience for tokens that are there but not covered yet.
//
// The error is a *ShortageError.
func (p *Purse) Reserve(ctx context.Context, workspace string, n int64, patience time.Duration) (*Reservation, error) {
	h := p.holding(workspace)
	h.mu.Lock()
	h.asked.Ask(n, time.Now())
	h.mu.Unlock()
	var cause error
	for range maxTries {
		r, err := p.take(ctx, h, n, p.coverWait())
		if r != nil {
			return r, nil
		}
		r, cause = p.obtain(ctx, h, n, err)
		if r != nil {
			return r, nil
		}
		if cause != nil {
			break
		}
	}
	after := p.coveredIn(h, n)
	if after > 0 && after <= patience {
		if r, _ := p.take(ctx, h, n, patience); r != nil {
			return r, nil
		}
	}
	switch {
	case cause == nil:
		cause = fmt.Errorf("%w: other requests took what came", ErrUnavailable)
	case errors.Is(cause, errComingBack):
		after = comeBackRetry
	}
	return nil, &ShortageError{Workspace: workspace, Tokens: n, After: max(0, after), Err: cause}
}

// obtain gets what is missing of n tokens from the store and from other routers. The
// cause tells why a try to take them has just failed; nil stands for too few. It returns
// nothing if another try may find them.
//
// Errors are ErrExhausted and ErrUnavailable, with the cause.
func (p *Purse) obtain(ctx context.Context, h *holding, n int64, cause error) (*Reservation, error) {
	homes, keeps := p.homes(h)
	drawn := false
	if cause == nil && keeps {
		drawn = true
		if cause = p.awaitDraw(ctx, h, n); cause == nil {
			return nil, nil
		}
	}
	short := h.short(n, cause)
	if short == 0 {
		return nil, nil
	}
	asked := p.askHomes(ctx, h, homes, short)
	if r := p.takeGiven(h, n, asked.given); r != nil || asked.given >= short {
		return r, nil
	}
	if asked.answered == 0 && !drawn && cause == nil {
		// Without a router that keeps tokens, this one draws its own.
		if cause = p.awaitDraw(ctx, h, n); cause == nil {
			return nil, nil
		}
	}
	if asked.answered == len(homes) && (asked.exhausted || isExhausted(cause)) && ctx.Err() == nil {
		cause = p.confirmExhausted(ctx, h)
		switch {
		case cause == nil:
			return nil, fmt.Errorf("%w: no router has enough of them", ErrExhausted)
		case errors.Is(cause, errMoreLeft):
			// The others may not know yet.
			return nil, p.drawRest(ctx, h, n)
		}
	}
	if cause == nil && asked.answered > 0 && !p.journal.away() && ctx.Err() == nil {
		// The others are drawing.
		return nil, nil
	}
	return nil, fmt.Errorf("%w: %d of %d routers gave %d of %d tokens: %w", ErrUnavailable, asked.answered, len(homes), asked.given, short, orNone(cause))
}

// drawRest draws what the store has left, which may be less than n tokens.
func (p *Purse) drawRest(ctx context.Context, h *holding, n int64) error {
	err := p.awaitDraw(ctx, h, n)
	if err == nil || isExhausted(err) {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// takeGiven takes in a gift and reserves n tokens with it at once, before another request
// finds it. It returns nil if they are not there, or not covered yet.
func (p *Purse) takeGiven(h *holding, n, given int64) *Reservation {
	if given > 0 {
		p.OnEvent(Event{Kind: GiftTaken, Workspace: h.workspace, Tokens: given})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gifts += given
	allowed := p.journal.allows(h.workspace, h.drawn, time.Now())
	own := n - min(n, h.gifts)
	if own > 0 && (len(h.waiting) > 0 || h.spent+own > allowed) {
		return nil
	}
	r, _ := h.take(n, allowed)
	if r != nil {
		r.purse = p
	}
	return r
}

// errNone stands for a cause that is not known.
var errNone = errors.New("no further cause")

func orNone(err error) error {
	if err == nil {
		return errNone
	}
	return err
}

// coveredIn returns how long it takes until n tokens more of a holding may be used, or
// a negative time if they are not there.
func (p *Purse) coveredIn(h *holding, n int64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	own := max(0, n-h.gifts)
	if own > h.free() {
		return -1
	}
	return p.journal.until(h.workspace, h.wanted()+own, time.Now())
}

// take reserves n tokens that are there, and waits for a time until they are covered. It
// returns nothing if they are not there, and errUncovered if they are not covered.
func (p *Purse) take(ctx context.Context, h *holding, n int64, wait time.Duration) (*Reservation, error) {
	now := time.Now()
	h.mu.Lock()
	r, w := h.take(n, p.journal.allows(h.workspace, h.drawn, now))
	ahead := r != nil && p.uncovered(h, now)
	unmirrored := r != nil && (w != nil || p.unmirrored(h, now))
	refill := r != nil && p.refillDue(h, now)
	h.mu.Unlock()
	if r == nil {
		return nil, nil
	}
	r.purse = p
	if w != nil || ahead {
		p.journal.kick()
	}
	if unmirrored {
		p.journal.kickMirror()
	}
	if refill {
		go p.refill(h)
	}
	if w == nil || awaitCover(ctx, w, wait) || !h.withdraw(r, w) {
		return r, nil
	}
	return nil, errUncovered
}

// coverWait returns how long it is worth waiting for the journal.
func (p *Purse) coverWait() time.Duration {
	if p.journal.away() {
		return 0
	}
	return coverTime
}

// awaitCover waits for a time until a reservation is covered.
func awaitCover(ctx context.Context, w *waiter, wait time.Duration) bool {
	timer := time.NewTimer(wait)
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
	ahead := p.headroom(h, now) / 2
	return min(h.drawn, h.wanted()+ahead) > p.journal.covered(h.workspace)
}

// unmirrored reports the same of the mirror. The caller holds h.mu.
func (p *Purse) unmirrored(h *holding, now time.Time) bool {
	ahead := int64(h.asked.Rate(now) * mirrorAhead.Seconds() / 2)
	return min(h.drawn, h.wanted()+ahead) > p.journal.mirrored(h.workspace)
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
	h.spent = max(0, h.spent-(r.own-(used-fromGift)))
	waiting := len(h.waiting) > 0
	if waiting {
		h.grant(r.purse.journal.allows(h.workspace, h.drawn, time.Now()))
	}
	h.mu.Unlock()
}
