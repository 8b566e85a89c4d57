package allotment

import (
	"sync"
	"time"

	"rosevalve/internal/budget/demand"
	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/protocol/inner"
)

// book is what this router holds of one budget.
type book struct {
	id ledger.BudgetID

	// lane serialises the table operations on this budget's holdings.
	lane lane

	mu       sync.Mutex // guards the fields below
	current  *holding
	former   []*holding // closed by other routers, with requests or bills left
	demand   demand.Meter
	flight   *flight
	retryAt  time.Time // earliest time of the next draw after a failed one
	refillAt time.Time // earliest time of the next draw ahead of demand
	lastFail error
	// failedLeast is the smallest request that the last failure is about.
	failedLeast int64
	// available is what the budget had left in the table at the last draw.
	available int64
	plan      ledger.Plan
	warned    int64 // the highest warning level reached, in percent
}

// flight is one draw that any number of requests wait for.
type flight struct {
	done chan struct{}
	err  error // valid after done is closed
}

// reserve takes n tokens if they are free, and returns the holding that they come from.
func (b *book) reserve(n int64) *holding {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.current
	if h.free() < n {
		return nil
	}
	h.reserved += n
	return h
}

// release ends a reservation whose request did not run.
func (b *book) release(r *Reservation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := r.holding
	h.reserved -= r.tokens
	h.note(inner.WitnessEntry{RunID: r.runID, State: inner.EntryDropped}, nil)
}

// bill turns a reservation into a bill; done receives the witness's answer.
func (b *book) bill(r *Reservation, row ledger.BillRow, done chan error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := r.holding
	h.reserved -= r.tokens
	h.pending += row.Tokens()
	h.bills = append(h.bills, row)
	if r.runID == "" {
		done <- nil
		return
	}
	e := h.entries[r.runID]
	e.RunID = r.runID
	e.State = inner.EntryBilled
	e.PromptTokens = row.PromptTokens
	e.CompletionTokens = row.CompletionTokens
	e.At = row.At
	h.note(e, done)
}

// close abandons a holding that another router has closed and begins another.
func (b *book) close(h *holding, next ledger.HoldingID) {
	b.mu.Lock()
	var changes []change
	if !h.closed {
		h.closed = true
		changes = h.waiting()
		b.former = append(b.former, h)
	}
	if b.current == h {
		b.current = newHolding(next)
	}
	b.mu.Unlock()
	finish(changes, ledger.ErrHoldingClosed)
}

// update takes over the totals that a table operation has read or written.
func (b *book) update(h *holding, row ledger.HoldingRow) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.update(row)
}

// batch returns the oldest bills, at most limit, for one settlement.
func (b *book) batch(h *holding, limit int) []ledger.BillRow {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.settling = min(limit, len(h.bills))
	return h.bills[:h.settling:h.settling]
}

// settled drops the batch from the pending bills and takes over the totals in one step.
func (b *book) settled(h *holding, row ledger.HoldingRow) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, bill := range h.bills[:h.settling] {
		h.pending -= bill.Tokens()
		h.note(inner.WitnessEntry{RunID: bill.RequestID, State: inner.EntryDropped}, nil)
	}
	h.bills = append([]ledger.BillRow(nil), h.bills[h.settling:]...)
	h.settling = 0
	h.update(row)
}

// forget drops former holdings with nothing left to do.
func (b *book) forget() {
	b.mu.Lock()
	defer b.mu.Unlock()
	var left []*holding
	for _, h := range b.former {
		if !h.idle() {
			left = append(left, h)
		}
	}
	b.former = left
}

// holdings returns the current and the former holdings.
func (b *book) holdings() (current *holding, former []*holding) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current, append([]*holding(nil), b.former...)
}
