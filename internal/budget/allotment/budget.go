package allotment

import (
	"sync"
	"time"

	"rosevalve/internal/budget/demand"
	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/protocol/inner"
)

// budget is this router's state of one budget: the holding that requests reserve from,
// earlier holdings with work left, and the draw in progress.
type budget struct {
	id ledger.BudgetID

	// tableLock serializes the table operations on this budget's holdings. It is
	// acquired before mu.
	tableLock tableLock

	mu           sync.Mutex // guards the fields below
	current      *holding
	former       []*holding // replaced, but kept until their requests and bills are resolved
	demand       demand.Meter
	drawCall     *drawCall // nil if no draw is in progress
	retryAt      time.Time // earliest time of the next draw after a failed one
	nextRefillAt time.Time // earliest time of the next draw ahead of demand
	lastDrawErr  error     // returned to requests until retryAt
	// minFailedTokens is the smallest request, in tokens, that lastDrawErr applies to.
	minFailedTokens int64
	// available is the number of the budget's tokens available in the table at the last draw.
	available    int64
	settings     ledger.BudgetSettings
	warningLevel int64 // highest warning level reached at the last draw, in percent
}

// drawCall is a draw in progress, shared by all requests that wait for it.
type drawCall struct {
	done chan struct{}
	err  error // valid after done is closed
}

// reserve reserves n tokens and returns the holding that they come from, or nil if
// fewer than n are free.
func (b *budget) reserve(n int64) *holding {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.current
	if h.free() < n {
		return nil
	}
	h.reserved += n
	return h
}

// release cancels the reservation of a request that did not run.
func (b *budget) release(r *Reservation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := r.holding
	h.reserved -= r.tokens
	h.recordEntry(inner.WitnessEntry{RunID: r.runID, State: inner.EntryDropped}, nil)
}

// bill replaces a reservation by a bill; done receives the outcome of the append to the
// witness, or nil at once if no attempt was recorded.
func (b *budget) bill(r *Reservation, row ledger.BillRow, done chan error) {
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
	e.At = row.BilledAt
	h.recordEntry(e, done)
}

// replaceHolding marks the holding as closed, fails the changes that wait for its witness,
// and makes a new holding current. It is used when another router has closed the holding
// or this router has finished it.
func (b *budget) replaceHolding(h *holding, next ledger.HoldingID) {
	b.mu.Lock()
	var changes []change
	if !h.closed {
		h.closed = true
		changes = h.removeWaiting()
		b.former = append(b.former, h)
	}
	if b.current == h {
		b.current = newHolding(next)
	}
	b.mu.Unlock()
	notifyWaiters(changes, ledger.ErrHoldingClosed)
}

// applyRow copies the totals that a table operation has read or written.
func (b *budget) applyRow(h *holding, row ledger.HoldingRow) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.applyRow(row)
}

// nextBatch returns the oldest bills, at most limit, for one settlement. The caller
// holds tableLock until it has called applySettlement or given up.
func (b *budget) nextBatch(h *holding, limit int) []ledger.BillRow {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.settlingCount = min(limit, len(h.bills))
	return h.bills[:h.settlingCount:h.settlingCount]
}

// applySettlement removes the batch from the pending bills and copies the totals from
// the table under one lock, so that the number of free tokens never reflects only one of them.
func (b *budget) applySettlement(h *holding, row ledger.HoldingRow) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, bill := range h.bills[:h.settlingCount] {
		h.pending -= bill.Tokens()
		h.recordEntry(inner.WitnessEntry{RunID: bill.RequestID, State: inner.EntryDropped}, nil)
	}
	h.bills = append([]ledger.BillRow(nil), h.bills[h.settlingCount:]...)
	h.settlingCount = 0
	h.applyRow(row)
}

// dropResolvedFormer drops the former holdings that have no work left.
func (b *budget) dropResolvedFormer() {
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
func (b *budget) holdings() (current *holding, former []*holding) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current, append([]*holding(nil), b.former...)
}
