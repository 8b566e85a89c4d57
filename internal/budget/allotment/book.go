package allotment

import (
	"sync"

	"rosevalve/internal/budget/ledger"
)

// book is what this router holds of one budget, in tokens.
//
// Invariant: billed + pending + reserved <= drawn.
type book struct {
	id ledger.BudgetID

	// lane serialises the table operations on this budget.
	lane sync.Mutex

	mu       sync.Mutex // guards the fields below
	drawn    int64      // as last read from the table
	billed   int64      // as last read from the table
	pending  int64      // billed here, not yet settled
	reserved int64      // worst cases of requests in flight
	bills    []ledger.BillRow
	settling int // bills at the front that a settlement carries
}

func (b *book) free() int64 { return b.drawn - b.billed - b.pending - b.reserved }

// reserve takes n tokens if they are free.
func (b *book) reserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.free() < n {
		return false
	}
	b.reserved += n
	return true
}

func (b *book) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved -= n
}

// bill turns a reservation of n tokens into a bill of at most n tokens.
func (b *book) bill(n int64, row ledger.BillRow) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved -= n
	b.pending += row.Tokens()
	b.bills = append(b.bills, row)
}

// update takes over the totals that a table operation has read or written.
func (b *book) update(h ledger.HoldingRow) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drawn = h.Drawn
	b.billed = h.Billed
}

// batch returns the oldest bills, at most limit, for one settlement.
func (b *book) batch(limit int) []ledger.BillRow {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settling = min(limit, len(b.bills))
	return b.bills[:b.settling:b.settling]
}

// settled drops the batch from the pending bills and takes over the totals in one step.
func (b *book) settled(h ledger.HoldingRow) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, row := range b.bills[:b.settling] {
		b.pending -= row.Tokens()
	}
	b.bills = append([]ledger.BillRow(nil), b.bills[b.settling:]...)
	b.settling = 0
	b.drawn = h.Drawn
	b.billed = h.Billed
}
