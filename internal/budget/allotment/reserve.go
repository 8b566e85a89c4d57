package allotment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/budget/demand"
	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/protocol/inner"
)

const (
	maxReserveTries = 3
	maxDrawTries    = 3

	// After a failed draw, requests fail without another draw for this long.
	exhaustedBackoff = 50 * time.Millisecond
	failedBackoff    = 200 * time.Millisecond
	// minRefillInterval is the minimum time between two draws ahead of demand.
	minRefillInterval = time.Second
)

// ErrInsufficient reports that the budget has too few tokens for a reservation, or has ended.
var ErrInsufficient = errors.New("insufficient tokens")

// Reservation is the tokens reserved for the worst case of one request. It is not safe
// for concurrent use.
type Reservation struct {
	manager *Manager
	budget  *budget
	holding *holding
	tokens  int64
	runID   string // empty until an attempt is recorded
	// attemptRecorded means that the witness acknowledged an attempt, which may have been
	// sent to a target.
	attemptRecorded bool
	once            sync.Once // ends the reservation
}

// Attempt describes a run that is about to be sent to a target.
type Attempt struct {
	// RunID is the id of the run at this router.
	RunID string
	// RequestKey is the idempotency key of the request.
	RequestKey string
	// Target is the address of the target, and AttemptID the id of the run there.
	Target    string
	AttemptID string
	// FallbackTokens is the number of tokens billed if the target cannot report the usage.
	FallbackTokens int64
	// FixedPrice marks a call that costs FallbackTokens and cannot be cancelled.
	FixedPrice bool
}

// Budget returns the id of the budget that the tokens are reserved from.
func (r *Reservation) Budget() ledger.BudgetID { return r.budget.id }

// Tokens returns the reserved number of tokens.
func (r *Reservation) Tokens() int64 { return r.tokens }

// Release cancels the reservation; the request did not run. It does nothing after Bill.
func (r *Reservation) Release() {
	r.once.Do(func() { r.budget.release(r) })
}

// RecordAttempt records the attempt at the witness before it is sent to a target. After an
// error the attempt must not be sent. If the holding was closed before a first attempt
// was recorded, RecordAttempt moves the reservation to the next holding.
func (r *Reservation) RecordAttempt(ctx context.Context, a Attempt) error {
	for range maxReserveTries {
		err := r.manager.recordAttempt(ctx, r, a)
		r.attemptRecorded = r.attemptRecorded || err == nil
		if r.attemptRecorded || !errors.Is(err, ledger.ErrHoldingClosed) {
			return err
		}
		if err := r.moveToNextHolding(ctx); err != nil {
			return err
		}
	}
	return fmt.Errorf("record attempt of run %q: %w", a.RunID, ledger.ErrHoldingClosed)
}

// moveToNextHolding moves the reservation to the budget's next holding, after its own
// was closed.
func (r *Reservation) moveToNextHolding(ctx context.Context) error {
	r.budget.release(r)
	r.runID = ""
	next, err := r.manager.Reserve(ctx, r.budget.id, r.tokens)
	if err != nil {
		r.once.Do(func() {})
		return fmt.Errorf("reserve from the next holding: %w", err)
	}
	r.holding = next.holding
	return nil
}

// Bill bills the tokens of the row and releases the rest of the reservation. It limits
// the tokens to the reservation, so that a wrong usage report cannot overspend. It
// returns when the witness has acknowledged the bill or did not answer in time.
func (r *Reservation) Bill(row ledger.BillRow) {
	r.once.Do(func() {
		row.Workspace = r.budget.id.Workspace
		row.Budget = r.budget.id.Name
		row.PromptTokens = min(max(row.PromptTokens, 0), r.tokens)
		row.CompletionTokens = min(max(row.CompletionTokens, 0), r.tokens-row.PromptTokens)
		r.manager.bill(r, row)
	})
}

// Reserve reserves n tokens of the budget, and draws from the table if too few are free.
//
// Errors are ErrInsufficient, those of the ledger and those of ctx.
func (m *Manager) Reserve(ctx context.Context, id ledger.BudgetID, n int64) (*Reservation, error) {
	m.init()
	b := m.budget(id)
	if !b.recordRequest(n, time.Now()) {
		return nil, fmt.Errorf("reserve %d tokens of budget %q, which has ended: %w", n, id, ErrInsufficient)
	}
	for range maxReserveTries {
		if h := b.reserve(n); h != nil {
			m.refill(b)
			return &Reservation{manager: m, budget: b, holding: h, tokens: n}, nil
		}
		if err := m.awaitDraw(ctx, b, n); err != nil {
			return nil, fmt.Errorf("reserve %d tokens: %w", n, err)
		}
	}
	return nil, fmt.Errorf("reserve %d tokens of budget %q: %w", n, id, ErrInsufficient)
}

// recordRequest counts a request for n tokens as demand, and reports whether the budget
// may still be used.
func (b *budget) recordRequest(n int64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.demand.RecordRequest(n, now)
	return !b.settings.Ended(now)
}

// refill starts a draw ahead of demand if the free tokens are below half of the size of a
// draw, so that requests can still be served during an outage of the table.
func (m *Manager) refill(b *budget) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if b.drawCall != nil || b.available == 0 || now.Before(b.retryAt) || now.Before(b.nextRefillAt) {
		return
	}
	input := demand.DrawInput{Rate: b.demand.TokenRate(now), Available: b.available, Eager: b.settings.Spread == ledger.Eager}
	if target := m.DrawSize(input); 2*b.current.free() >= target {
		return
	}
	b.nextRefillAt = now.Add(minRefillInterval)
	b.drawCall = &drawCall{done: make(chan struct{})}
	go m.runDraw(b, b.drawCall)
}

// awaitDraw adds n tokens to the demand and waits for the draw in progress, or starts one.
// It returns the last error without a draw until retryAt.
func (m *Manager) awaitDraw(ctx context.Context, b *budget, n int64) error {
	b.mu.Lock()
	if b.drawCall == nil && n >= b.minFailedTokens && time.Now().Before(b.retryAt) {
		defer b.mu.Unlock()
		return b.lastDrawErr
	}
	b.demand.RecordWaiting(n)
	call := b.drawCall
	if call == nil {
		call = &drawCall{done: make(chan struct{})}
		b.drawCall = call
		go m.runDraw(b, call)
	}
	b.mu.Unlock()
	select {
	case <-call.done:
		return call.err
	case <-ctx.Done():
		return fmt.Errorf("wait for draw: %w", ctx.Err())
	}
}

// runDraw executes one draw and passes the outcome to all requests that wait for it.
func (m *Manager) runDraw(b *budget, call *drawCall) {
	ctx, cancel := context.WithTimeout(context.Background(), m.DrawTimeout)
	defer cancel()
	input := b.takeInput()
	err := m.draw(ctx, b, input)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.recordDrawFailure(err, input)
	}
	call.err = err
	b.drawCall = nil
	close(call.done)
}

// recordDrawFailure sets the backoff after a failed draw. A draw ahead of demand that
// found too few tokens has none, since no request failed. The caller holds mu.
func (b *budget) recordDrawFailure(err error, input demand.DrawInput) {
	if input.MinShortfall == 0 && errors.Is(err, ErrInsufficient) {
		return
	}
	b.lastDrawErr = err
	b.minFailedTokens = 0
	b.retryAt = time.Now().Add(failedBackoff)
	if errors.Is(err, ErrInsufficient) {
		b.minFailedTokens = input.MinShortfall + b.current.free()
		b.retryAt = time.Now().Add(exhaustedBackoff)
	}
}

// draw draws tokens from the table. If the budget is exhausted and requests wait, it
// recalls the free tokens of peers once and retries. It also retries, with the next
// holding, if the holding was closed.
func (m *Manager) draw(ctx context.Context, b *budget, input demand.DrawInput) error {
	recalled := false
	var err error
	for range maxDrawTries {
		err = m.drawOnce(ctx, b, input)
		if errors.Is(err, ledger.ErrExhausted) && m.RecallFromPeers != nil && !recalled && input.MinShortfall > 0 {
			recalled = true
			drawFailures.Add("recalled", 1)
			if m.RecallFromPeers(ctx, b.id) > 0 {
				continue
			}
		}
		if !errors.Is(err, ledger.ErrHoldingClosed) {
			break
		}
	}
	if errors.Is(err, ledger.ErrExhausted) {
		return ErrInsufficient
	}
	return err
}

func (b *budget) takeInput() demand.DrawInput {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.demand.TakeInput(b.current.free())
}

// drawOnce executes one draw into the budget's current holding.
func (m *Manager) drawOnce(ctx context.Context, b *budget, input demand.DrawInput) error {
	if err := b.tableLock.lock(ctx); err != nil {
		return err
	}
	defer b.tableLock.unlock()
	h, _ := b.holdings()
	id, opened, term := m.openingTerm(b, h)
	draws.Add(1)
	row, err := m.Ledger.Draw(ctx, id, opened, term, func(row ledger.BudgetRow) int64 {
		m.recordBudgetRow(b, row)
		if row.Plan.Ended(time.Now()) {
			return 0
		}
		input.Available, input.Eager = row.Available(), row.Plan.Spread == ledger.Eager
		return m.DrawSize(input)
	})
	if errors.Is(err, ledger.ErrHoldingClosed) {
		b.replaceHolding(h, m.nextID(b.id))
		return err
	}
	b.applyRow(h, row)
	if err != nil {
		drawFailures.Add("failed", 1)
		return err
	}
	return nil
}

// recordBudgetRow records the state of the budget in the table, and calls OnWarningLevel if the
// warning level has risen.
func (m *Manager) recordBudgetRow(b *budget, row ledger.BudgetRow) {
	b.mu.Lock()
	b.available = row.Available()
	b.settings = row.Plan
	before := b.warningLevel
	b.warningLevel = reachedLevel(row.CommittedPercent())
	after := b.warningLevel
	b.mu.Unlock()
	if after > before && m.OnWarningLevel != nil {
		budgetWarnings.Add(1)
		m.OnWarningLevel(b.id, after)
	}
}

// reachedLevel returns the highest warning level that is at most percent, or 0.
func reachedLevel(percent int64) int64 {
	reached := int64(0)
	for _, l := range warningLevels {
		if percent >= l {
			reached = l
		}
	}
	return reached
}

// openingTerm returns the holding's id, whether its row is in the table, and, if it is
// not, the term to open it with.
func (m *Manager) openingTerm(b *budget, h *holding) (ledger.HoldingID, bool, ledger.Term) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.opened {
		return h.id, true, ledger.Term{}
	}
	h.lastTermNumber++
	term := ledger.Term{Number: h.lastTermNumber}
	if w, ok := m.pickWitness(nil); ok {
		term.Witness, term.Addr = w.ID, w.Addr
	}
	return h.id, false, term
}

// entry returns the open entry of the attempt, with its worst case in tokens.
func (a Attempt) entry(tokens int64) inner.WitnessEntry {
	return inner.WitnessEntry{
		RunID:      a.RunID,
		State:      inner.EntryOpen,
		RequestKey: a.RequestKey,
		Target:     a.Target,
		Attempt:    a.AttemptID,
		Tokens:     tokens,
		Prompt:     a.FallbackTokens,
		Fixed:      a.FixedPrice,
	}
}
