package allotment

import (
	"time"

	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/protocol/inner"
)

// holding is one holding of this router, in tokens. The book's lock guards it.
//
// Invariant: billed + pending + reserved + withheld <= drawn <= the table's Drawn,
// where a draw or return whose outcome is unknown counts against this router.
type holding struct {
	id       ledger.HoldingID
	opened   bool  // its row has been seen in the table
	closed   bool  // another router has closed it
	resolved bool  // the table knows all outcomes of a closed holding
	drawn    int64 // as last read from the table
	billed   int64 // as last read from the table
	pending  int64 // billed here, not yet settled
	reserved int64 // worst cases of requests in flight
	withheld int64 // may have gone back to the budget
	// uncertain means that a return of the withheld tokens may still take effect.
	uncertain bool

	bills    []ledger.BillRow
	settling int // bills at the front that a settlement carries

	term     ledger.Term
	lastTerm uint64 // the last number tried
	// paused means that no witness acknowledges entries for now.
	paused bool
	// renaming means that a term which failed to begin may still begin.
	renaming bool
	retryAt  time.Time                     // earliest time of the next search for a witness
	entries  map[string]inner.WitnessEntry // announced and not settled, by run id
	seq      uint64                        // parts sent in this term
	outbox   []change                      // not sent yet
	carried  []change                      // sent within the snapshot of the next term
}

// change is one entry for the witness; done receives the outcome if it is set.
type change struct {
	entry inner.WitnessEntry
	done  chan error
}

func newHolding(id ledger.HoldingID) *holding {
	return &holding{id: id, entries: make(map[string]inner.WitnessEntry)}
}

func (h *holding) free() int64 {
	if h.closed {
		return 0
	}
	return h.drawn - h.billed - h.pending - h.reserved - h.withheld
}

// witnessed reports whether entries must be acknowledged before they take effect.
func (h *holding) witnessed() bool { return h.term.Witness != "" || h.paused }

// idle reports whether nothing of the holding is left to be done.
func (h *holding) idle() bool {
	return h.reserved == 0 && len(h.bills) == 0 && (h.resolved || !h.closed)
}

// update takes over the totals of the table.
func (h *holding) update(row ledger.HoldingRow) {
	if row.Name == "" {
		return
	}
	h.drawn = row.Drawn
	h.billed = row.Billed
	if !h.opened && row.Term.Number > 0 {
		h.opened = true
		h.term = row.Term
	}
}

// note records the newest state of an entry and queues it for the witness.
func (h *holding) note(e inner.WitnessEntry, done chan error) {
	h.resolved = false
	if e.State == inner.EntryDropped {
		if _, ok := h.entries[e.RunID]; !ok {
			return
		}
		delete(h.entries, e.RunID)
	} else {
		h.entries[e.RunID] = e
	}
	if h.witnessed() && !h.closed {
		h.outbox = append(h.outbox, change{entry: e, done: done})
	} else if done != nil {
		done <- nil
	}
}

// take returns the queued changes as the next part for the witness.
func (h *holding) take() (inner.WitnessBook, []change) {
	changes := h.outbox
	h.outbox = nil
	h.seq++
	part := inner.WitnessBook{Holding: h.id.String(), Term: h.term.Number, Seq: h.seq}
	for _, c := range changes {
		part.Entries = append(part.Entries, c.entry)
	}
	return part, changes
}

// snapshot returns all entries as the first part of a new term.
func (h *holding) snapshot() inner.WitnessBook {
	h.lastTerm++
	return h.whole(h.lastTerm, 1)
}

// repeat returns all entries as the next part of the present term.
func (h *holding) repeat() inner.WitnessBook {
	h.seq++
	return h.whole(h.term.Number, h.seq)
}

func (h *holding) whole(term, seq uint64) inner.WitnessBook {
	h.carried = append(h.carried, h.outbox...)
	h.outbox = nil
	part := inner.WitnessBook{Holding: h.id.String(), Term: term, Seq: seq, Whole: true}
	for _, e := range h.entries {
		part.Entries = append(part.Entries, e)
	}
	return part
}

// begin starts the term whose snapshot has been acknowledged and that is in the table.
func (h *holding) begin(row ledger.HoldingRow) []change {
	h.update(row)
	h.term = row.Term
	h.seq = 1
	h.renaming = false
	return h.resume()
}

// resume ends the pause and returns the changes that the witness knows now.
func (h *holding) resume() []change {
	changes := h.carried
	h.carried = nil
	h.paused = false
	return changes
}

// waiting returns all changes that wait for a witness, and drops them.
func (h *holding) waiting() []change {
	changes := append(h.carried, h.outbox...)
	h.carried, h.outbox = nil, nil
	return changes
}

// finish tells the outcome to those who wait for the changes.
func finish(changes []change, err error) {
	for _, c := range changes {
		if c.done != nil {
			c.done <- err
		}
	}
}
