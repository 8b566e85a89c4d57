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

	// A refusal is repeated without asking the table for this long.
	exhaustedBackoff = 50 * time.Millisecond
	failedBackoff    = 200 * time.Millisecond
	// refillPause is the least time between two draws ahead of demand.
	refillPause = time.Second
)

// ErrInsufficient reports that no tokens could be had for a reservation.
var ErrInsufficient = errors.New("insufficient tokens")

// Reservation is the worst case of one request, taken from a book. One goroutine
// at a time may use it.
type Reservation struct {
	purse   *Purse
	book    *book
	holding *holding
	tokens  int64
	runID   string // set when the request is announced
	// announced means that an attempt may have been sent.
	announced bool
	once      sync.Once
}

// Attempt says what is about to be sent to a target.
type Attempt struct {
	RunID      string
	RequestKey string
	// Target is the address of the target, and ID the run's id there.
	Target string
	ID     string
	// Prompt is billed if the target can not tell the usage.
	Prompt int64
	// Fixed marks a call whose price is Prompt and that can not be cancelled.
	Fixed bool
}

// Budget returns the budget that the tokens come from.
func (r *Reservation) Budget() ledger.BudgetID { return r.book.id }

// Tokens returns the reserved number of tokens.
func (r *Reservation) Tokens() int64 { return r.tokens }

// Release gives the tokens back; the request did not run.
func (r *Reservation) Release() {
	r.once.Do(func() { r.book.release(r) })
}

// Announce makes the attempt known to the witness. After an error nothing may be sent.
func (r *Reservation) Announce(ctx context.Context, a Attempt) error {
	for range maxReserveTries {
		err := r.purse.announce(ctx, r, a)
		r.announced = r.announced || err == nil
		if r.announced || !errors.Is(err, ledger.ErrHoldingClosed) {
			return err
		}
		if err := r.move(ctx); err != nil {
			return err
		}
	}
	return fmt.Errorf("announce run %q: %w", a.RunID, ledger.ErrHoldingClosed)
}

// move takes the tokens from the book's next holding, after the present one was closed.
func (r *Reservation) move(ctx context.Context) error {
	r.book.release(r)
	r.runID = ""
	next, err := r.purse.Reserve(ctx, r.book.id, r.tokens)
	if err != nil {
		r.once.Do(func() {})
		return fmt.Errorf("reserve anew: %w", err)
	}
	r.holding = next.holding
	return nil
}

// Bill spends the tokens of the bill and gives the rest back. A bill over the
// reservation is cut to it, so that a wrong usage report cannot overspend. It
// returns when the witness knows the bill, or cannot be asked.
func (r *Reservation) Bill(row ledger.BillRow) {
	r.once.Do(func() {
		row.Workspace = r.book.id.Workspace
		row.Budget = r.book.id.Name
		row.PromptTokens = min(max(row.PromptTokens, 0), r.tokens)
		row.CompletionTokens = min(max(row.CompletionTokens, 0), r.tokens-row.PromptTokens)
		r.purse.bill(r, row)
	})
}

// Reserve takes n tokens of the budget, drawing from the table if the book has too few.
//
// Errors are ErrInsufficient and those of the ledger.
func (p *Purse) Reserve(ctx context.Context, id ledger.BudgetID, n int64) (*Reservation, error) {
	p.init()
	b := p.book(id)
	if !b.ask(n, time.Now()) {
		return nil, fmt.Errorf("reserve %d tokens of budget %q, which has ended: %w", n, id, ErrInsufficient)
	}
	for range maxReserveTries {
		if h := b.reserve(n); h != nil {
			p.refill(b)
			return &Reservation{purse: p, book: b, holding: h, tokens: n}, nil
		}
		if err := p.awaitDraw(ctx, b, n); err != nil {
			return nil, fmt.Errorf("reserve %d tokens: %w", n, err)
		}
	}
	return nil, fmt.Errorf("reserve %d tokens of budget %q: %w", n, id, ErrInsufficient)
}

// ask counts a request for n tokens; it reports false if the budget has ended.
func (b *book) ask(n int64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.demand.Ask(n, now)
	return !b.plan.Ended(now)
}

// refill draws ahead of demand once half of what the horizon asks for is gone, so
// that an outage of the table finds the holding filled.
func (p *Purse) refill(b *book) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if b.flight != nil || b.available == 0 || now.Before(b.retryAt) || now.Before(b.refillAt) {
		return
	}
	d := demand.Need{Rate: b.demand.Rate(now), Available: b.available, Eager: b.plan.Spread == ledger.Eager}
	if target := p.Size(d); 2*b.current.free() >= target {
		return
	}
	b.refillAt = now.Add(refillPause)
	b.flight = &flight{done: make(chan struct{})}
	go p.fly(b, b.flight)
}

// awaitDraw waits for a draw that counts n tokens more.
func (p *Purse) awaitDraw(ctx context.Context, b *book, n int64) error {
	b.mu.Lock()
	if b.flight == nil && n >= b.failedLeast && time.Now().Before(b.retryAt) {
		defer b.mu.Unlock()
		return b.lastFail
	}
	b.demand.Wait(n)
	f := b.flight
	if f == nil {
		f = &flight{done: make(chan struct{})}
		b.flight = f
		go p.fly(b, f)
	}
	b.mu.Unlock()
	select {
	case <-f.done:
		return f.err
	case <-ctx.Done():
		return fmt.Errorf("wait for draw: %w", ctx.Err())
	}
}

// fly carries out one draw and tells all who wait for it.
func (p *Purse) fly(b *book, f *flight) {
	ctx, cancel := context.WithTimeout(context.Background(), p.DrawTimeout)
	defer cancel()
	want := b.nextDemand()
	err := p.draw(ctx, b, want)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.fail(err, want)
	}
	f.err = err
	b.flight = nil
	close(f.done)
}

// fail remembers a failed draw for a moment, unless it was ahead of demand. The caller holds mu.
func (b *book) fail(err error, want demand.Need) {
	if want.Least == 0 && errors.Is(err, ErrInsufficient) {
		return
	}
	b.lastFail = err
	b.failedLeast = 0
	b.retryAt = time.Now().Add(failedBackoff)
	if errors.Is(err, ErrInsufficient) {
		b.failedLeast = want.Least + b.current.free()
		b.retryAt = time.Now().Add(exhaustedBackoff)
	}
}

// draw takes tokens from the table, and asks peers to return theirs before it gives up.
func (p *Purse) draw(ctx context.Context, b *book, want demand.Need) error {
	recalled := false
	var err error
	for range maxDrawTries {
		err = p.drawOnce(ctx, b, want)
		if errors.Is(err, ledger.ErrExhausted) && p.Recall != nil && !recalled && want.Least > 0 {
			recalled = true
			drawFailures.Add("recalled", 1)
			if p.Recall(ctx, b.id) > 0 {
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

func (b *book) nextDemand() demand.Need {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.demand.Next(b.current.free())
}

// drawOnce makes one draw into the book's current holding.
func (p *Purse) drawOnce(ctx context.Context, b *book, want demand.Need) error {
	if err := b.lane.lock(ctx); err != nil {
		return err
	}
	defer b.lane.unlock()
	h, _ := b.holdings()
	id, opened, term := p.terms(b, h)
	draws.Add(1)
	row, err := p.Ledger.Draw(ctx, id, opened, term, func(row ledger.BudgetRow) int64 {
		p.seen(b, row)
		if row.Plan.Ended(time.Now()) {
			return 0
		}
		want.Available, want.Eager = row.Available(), row.Plan.Spread == ledger.Eager
		return p.Size(want)
	})
	if errors.Is(err, ledger.ErrHoldingClosed) {
		b.close(h, p.nextID(b.id))
		return err
	}
	b.update(h, row)
	if err != nil {
		drawFailures.Add("failed", 1)
		return err
	}
	return nil
}

// seen notes what is known of the budget, and warns when its use passes a level.
func (p *Purse) seen(b *book, row ledger.BudgetRow) {
	b.mu.Lock()
	b.available = row.Available()
	b.plan = row.Plan
	before := b.warned
	b.warned = level(row.Committed())
	after := b.warned
	b.mu.Unlock()
	if after > before && p.OnLevel != nil {
		budgetWarnings.Add(1)
		p.OnLevel(b.id, after)
	}
}

// level returns the highest warning level that the share has reached, in percent.
func level(percent int64) int64 {
	reached := int64(0)
	for _, l := range warningLevels {
		if percent >= l {
			reached = l
		}
	}
	return reached
}

// terms returns the holding's id, whether it is open, and the term to open it with.
func (p *Purse) terms(b *book, h *holding) (ledger.HoldingID, bool, ledger.Term) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.opened {
		return h.id, true, ledger.Term{}
	}
	h.lastTerm++
	term := ledger.Term{Number: h.lastTerm}
	if w, ok := p.pick(nil); ok {
		term.Witness, term.Addr = w.ID, w.Addr
	}
	return h.id, false, term
}

// entry returns the entry of a request that is about to be sent.
func (a Attempt) entry(tokens int64) inner.WitnessEntry {
	return inner.WitnessEntry{
		RunID:      a.RunID,
		State:      inner.EntryOpen,
		RequestKey: a.RequestKey,
		Target:     a.Target,
		Attempt:    a.ID,
		Tokens:     tokens,
		Prompt:     a.Prompt,
		Fixed:      a.Fixed,
	}
}
