package prepaid

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/budget/amount"
)

const (
	// maxReserveAttempts limits the rounds of draws and transfers that one reservation waits
	// for.
	maxReserveAttempts = 3
	// journalWait is how long a reservation waits for the journal before other routers are
	// asked.
	journalWait = 40 * time.Millisecond
	// refillInterval is the minimum time between two draws ahead of demand.
	refillInterval = time.Second
	// unclosedRetryDelay is the suggested delay before a retry while the holding of an incarnation that
	// is leaving or has ended is not closed, or tokens are held that can not be used yet.
	unclosedRetryDelay = 400 * time.Millisecond
	// drawHintInterval is the minimum time between two rounds of draw hints of a workspace.
	drawHintInterval = time.Second
)

// errNotAdmitted reports that the journal was not written in time for a reservation.
var errNotAdmitted = errors.New("journal was not written in time for the reservation")

// Reservation is the maximum number of tokens that one request can use. It is not safe for
// concurrent use.
type Reservation struct {
	manager       *Manager
	holding       *holding
	own, received int64
	finished      bool
}

// Tokens returns the number of reserved tokens.
func (r *Reservation) Tokens() int64 { return r.own + r.received }

// ShortageError reports that tokens could not be reserved.
type ShortageError struct {
	// Workspace and Tokens are the workspace and the number of tokens that were requested.
	Workspace string
	Tokens    int64
	// RetryAfter is an estimate of the time until the tokens may be available; 0 if unknown.
	RetryAfter time.Duration
	// Err is ErrExhausted or ErrUnavailable, with the cause.
	Err error
}

// Error returns the requested tokens, the workspace and the cause.
func (e *ShortageError) Error() string {
	return fmt.Sprintf("reserve %d tokens of workspace %q: %v", e.Tokens, e.Workspace, e.Err)
}

// Unwrap returns the cause.
func (e *ShortageError) Unwrap() error { return e.Err }

// Reserve reserves n tokens of the workspace and returns when they may be used. It waits up to
// maxWait for tokens that are held but not yet within the usage limit.
//
// The error is a *ShortageError.
func (m *Manager) Reserve(ctx context.Context, workspace string, n int64, maxWait time.Duration) (*Reservation, error) {
	if total := m.prepaidTotal(workspace); n < 0 || n > total {
		return nil, &ShortageError{Workspace: workspace, Tokens: n, Err: fmt.Errorf("%w: the total is %d", ErrExhausted, total)}
	}
	h := m.holding(workspace)
	h.mu.Lock()
	h.demand.RecordRequest(n, time.Now())
	h.mu.Unlock()
	var cause error
	for range maxReserveAttempts {
		r, err := m.reserveHeld(ctx, h, n, m.maxJournalWait())
		if r != nil {
			return r, nil
		}
		r, cause = m.obtain(ctx, h, n, err)
		if r != nil {
			return r, nil
		}
		if cause != nil {
			break
		}
	}
	after := m.timeUntilUsable(h, n)
	if after >= 0 && after <= maxWait {
		if r, _ := m.reserveHeld(ctx, h, n, maxWait); r != nil {
			return r, nil
		}
	}
	switch {
	case cause == nil:
		cause = fmt.Errorf("%w: other requests took the tokens that arrived", ErrUnavailable)
	case errors.Is(cause, errHoldingOpen), errors.Is(cause, errTokensHeld), h.returnPending():
		after = unclosedRetryDelay
	}
	return nil, &ShortageError{Workspace: workspace, Tokens: n, RetryAfter: max(0, after), Err: cause}
}

// obtain gets the missing part of n tokens from the store and from other routers. cause is why
// the preceding attempt to reserve them failed; nil means that too few were free. It returns
// neither a reservation nor an error if another attempt may succeed.
//
// Errors are ErrExhausted and ErrUnavailable, with the cause.
func (m *Manager) obtain(ctx context.Context, h *holding, n int64, cause error) (*Reservation, error) {
	homeRouters, holdsHere := m.homeRouters(h)
	drawn := false
	if cause == nil && holdsHere {
		drawn = true
		if cause = m.awaitDraw(ctx, h, n); cause == nil {
			return nil, nil
		}
	}
	missing := h.shortfall(n, cause)
	if missing == 0 {
		return nil, nil
	}
	result := m.requestTransfers(ctx, h, homeRouters, missing)
	if r := m.reserveReceived(h, n, result.received); r != nil || result.received >= missing {
		return r, nil
	}
	if len(result.answered) == 0 && !drawn && cause == nil {
		// No home router answered, so this router draws its own tokens.
		if cause = m.awaitDraw(ctx, h, n); cause == nil {
			return nil, nil
		}
	}
	if h.shortfall(n, nil) == 0 && !errors.Is(cause, errNotAdmitted) {
		// A return was settled meanwhile.
		return nil, nil
	}
	if len(result.answered) == len(homeRouters) && (result.exhausted || isTooFewLeft(cause)) && !errors.Is(cause, errNotAdmitted) && ctx.Err() == nil {
		cause = m.confirmExhausted(ctx, h, n, result)
		switch {
		case cause == nil && h.needsReserve():
			// The draw gives notice.
			if err := m.drawRest(ctx, h, n); err != nil {
				return nil, err
			}
			return nil, fmt.Errorf("%w: only the reserve of the total is left", ErrExhausted)
		case cause == nil:
			return nil, fmt.Errorf("%w: no router has enough tokens", ErrExhausted)
		case errors.Is(cause, errHoldingOpen) && h.needsReserve():
			// The draw gives notice.
			if err := m.drawRest(ctx, h, n); err != nil {
				return nil, err
			}
		case errors.Is(cause, errTokensArrived):
			return nil, nil
		case errors.Is(cause, errTokensLeft):
			// The routers that hold tokens may not know this yet.
			return nil, m.drawRest(ctx, h, n)
		}
	}
	if cause == nil && len(result.answered) > 0 && !m.journal.storeUnreachable() && ctx.Err() == nil {
		// The routers that hold tokens are drawing.
		return nil, nil
	}
	return nil, fmt.Errorf("%w: %d of %d routers answered with %d of %d tokens: %w", ErrUnavailable, len(result.answered), len(homeRouters), result.received, missing, orUnknownCause(cause))
}

// drawRest draws what is left in the store, which may be less than n tokens.
func (m *Manager) drawRest(ctx context.Context, h *holding, n int64) error {
	err := m.awaitDraw(ctx, h, n)
	if err == nil || isTooFewLeft(err) {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// reserveReceived adds the tokens that were transferred here and reserves n tokens in the same
// step, before another request can take them. It returns nil if too few are free, or if the
// usage limit must rise first.
func (m *Manager) reserveReceived(h *holding, n, received int64) *Reservation {
	if received > 0 {
		m.OnEvent(Event{Kind: TransferReceived, Workspace: h.workspace, Tokens: received})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.received = amount.Add(h.received, received)
	allowed := m.journal.usageLimit(h.workspace, h.drawn, time.Now())
	own := n - min(n, h.received)
	if own > 0 && (len(h.waiting) > 0 || h.spent+own > allowed) {
		return nil
	}
	r, _ := h.reserve(n, allowed)
	if r != nil {
		r.manager = m
	}
	return r
}

// errUnknownCause is used if no cause is known.
var errUnknownCause = errors.New("cause unknown")

func orUnknownCause(err error) error {
	if err == nil {
		return errUnknownCause
	}
	return err
}

// timeUntilUsable returns the time until n further tokens of a holding may be used; negative
// if they are not free.
func (m *Manager) timeUntilUsable(h *holding, n int64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	own := max(0, n-h.received)
	if own > h.free() {
		return -1
	}
	return m.journal.timeUntilAllowed(h.workspace, h.spentOrAwaited()+own, h.drawn, time.Now())
}

// reserveHeld reserves n tokens that are held, and waits up to wait until they are within the
// usage limit. It returns nil if too few are free, and errNotAdmitted if the limit does not
// rise in time.
func (m *Manager) reserveHeld(ctx context.Context, h *holding, n int64, wait time.Duration) (*Reservation, error) {
	now := time.Now()
	h.mu.Lock()
	r, w := h.reserve(n, m.journal.usageLimit(h.workspace, h.drawn, now))
	writeDue := r != nil && m.needsJournalWrite(h, now)
	noteDue := r != nil && (w != nil || m.needsMirrorNote(h, now))
	refillNow := r != nil && m.refillDue(h, now)
	if w != nil && m.journal.awaitsReplicas(h.workspace, h.spentOrAwaited(), h.drawn, now) {
		m.journal.requestReplicas()
		wait = max(wait, journalWait)
	}
	h.mu.Unlock()
	if r == nil {
		return nil, nil
	}
	r.manager = m
	if w != nil || writeDue {
		m.journal.requestWrite()
	}
	if noteDue {
		m.journal.requestNote()
	}
	if refillNow {
		go m.refill(h)
	}
	if w == nil || awaitAdmission(ctx, w, wait) || !h.cancelWait(r, w) {
		return r, nil
	}
	return nil, errNotAdmitted
}

// maxJournalWait returns the time for which a reservation should wait for the journal.
func (m *Manager) maxJournalWait() time.Duration {
	if m.journal.storeUnreachable() {
		return 0
	}
	return journalWait
}

// awaitAdmission waits until a reservation is admitted. It reports false after the given time.
func awaitAdmission(ctx context.Context, w *waiter, wait time.Duration) bool {
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

// needsJournalWrite reports whether the journal should be written before the next request
// needs it. The caller holds h.mu.
func (m *Manager) needsJournalWrite(h *holding, now time.Time) bool {
	ahead := m.firmHeadroom(h, now) / 2
	return min(h.drawn, h.spentOrAwaited()+ahead) > m.journal.immediateBound(h.workspace)
}

// needsMirrorNote reports whether the mirror should be sent a note before the next request
// needs it. The caller holds h.mu.
func (m *Manager) needsMirrorNote(h *holding, now time.Time) bool {
	ahead := amount.FromFloat(h.demand.TokenRate(now) * mirrorLookahead.Seconds() / 2)
	return min(h.drawn, amount.Add(h.spentOrAwaited(), ahead)) > m.journal.mirrorImmediateBound(h.workspace)
}

// shortfall returns how many of n tokens must come from other routers after the failure.
func (h *holding) shortfall(n int64, cause error) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if errors.Is(cause, errNotAdmitted) {
		return max(0, n-h.received)
	}
	return max(0, n-h.received-max(0, h.free()))
}

// Release frees the tokens of a request that certainly did not run.
func (r *Reservation) Release() { r.Bill(0) }

// Bill counts the tokens that the request has used and frees the rest. Only the first call has
// an effect.
func (r *Reservation) Bill(used int64) {
	if r.finished {
		return
	}
	r.finished = true
	used = min(max(0, used), r.Tokens())
	fromReceived := min(used, r.received)
	h := r.holding
	h.mu.Lock()
	h.received += r.received - fromReceived
	h.spent = max(0, h.spent-(r.own-(used-fromReceived)))
	waiting := len(h.waiting) > 0
	if waiting {
		h.admit(r.manager.journal.usageLimit(h.workspace, h.drawn, time.Now()))
	}
	h.mu.Unlock()
}
