package allotment

import (
	"time"

	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/protocol/inner"
)

// holding is the tokens that this router has drawn from one budget under one row of the
// table. The mutex of its budget guards it.
//
// Invariant: billed + pending + reserved + withheld <= drawn <= the table's Drawn,
// where a draw or return with an unknown outcome is counted in the way that leaves this
// router fewer tokens.
type holding struct {
	id       ledger.HoldingID
	opened   bool  // its row has been read from or written to the table
	closed   bool  // nothing may be reserved: closed by another router or finished by this one
	resolved bool  // all outcomes of a closed holding are in the table
	drawn    int64 // as last read from the table
	billed   int64 // as last read from the table
	pending  int64 // billed, not yet settled in the table
	reserved int64 // worst cases of requests in flight
	withheld int64 // excluded from free because a return to the budget is in progress or in doubt
	// returnInDoubt means that a failed return of the withheld tokens may still take effect.
	returnInDoubt bool

	bills         []ledger.BillRow // not yet settled, oldest first
	settlingCount int              // number of bills, from the front, in the settlement in progress

	term           ledger.Term
	lastTermNumber uint64 // last number used, also for terms that failed to start
	// paused means that no witness acknowledges entries at present; no request may start.
	paused bool
	// termInDoubt means that a failed write of a new term may still take effect.
	termInDoubt      bool
	witnessRetryAt   time.Time                     // earliest time of the next attempt to replace the witness
	entries          map[string]inner.WitnessEntry // recorded, not yet settled or dropped, by run id
	seq              uint64                        // sequence number of the last part sent in this term
	outbox           []change                      // not yet sent
	awaitingSnapshot []change                      // part of a snapshot that is not yet acknowledged
}

// change is a new state of an entry, to be sent to the witness. done, unless it is nil,
// receives the outcome; its buffer has capacity for it.
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

// requiresAck reports whether an entry takes effect only after a witness has
// acknowledged it.
func (h *holding) requiresAck() bool { return h.term.Witness != "" || h.paused }

// idle reports whether the holding has no reservations, no bills to settle and, if it
// is closed, no outcomes to write.
func (h *holding) idle() bool {
	return h.reserved == 0 && len(h.bills) == 0 && (h.resolved || !h.closed)
}

// applyRow copies the totals of the row, and its term if the holding was not open. A
// zero row changes nothing.
func (h *holding) applyRow(row ledger.HoldingRow) {
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

// recordEntry records the latest state of an entry and queues it for the witness. If no
// acknowledgement is required, done receives nil at once.
func (h *holding) recordEntry(e inner.WitnessEntry, done chan error) {
	h.resolved = false
	if e.State == inner.EntryDropped {
		if _, ok := h.entries[e.RunID]; !ok {
			return
		}
		delete(h.entries, e.RunID)
	} else {
		h.entries[e.RunID] = e
	}
	if h.requiresAck() && !h.closed {
		h.outbox = append(h.outbox, change{entry: e, done: done})
	} else if done != nil {
		done <- nil
	}
}

// nextPart removes the queued changes from the outbox and returns them as the next part
// for the witness.
func (h *holding) nextPart() (inner.WitnessBook, []change) {
	changes := h.outbox
	h.outbox = nil
	h.seq++
	part := inner.WitnessBook{Holding: h.id.String(), Term: h.term.Number, Seq: h.seq}
	for _, c := range changes {
		part.Entries = append(part.Entries, c.entry)
	}
	return part, changes
}

// newTermSnapshot returns all entries as the first part of a new term.
func (h *holding) newTermSnapshot() inner.WitnessBook {
	h.lastTermNumber++
	return h.snapshotPart(h.lastTermNumber, 1)
}

// currentTermSnapshot returns all entries as the next part of the current term.
func (h *holding) currentTermSnapshot() inner.WitnessBook {
	h.seq++
	return h.snapshotPart(h.term.Number, h.seq)
}

func (h *holding) snapshotPart(term, seq uint64) inner.WitnessBook {
	h.awaitingSnapshot = append(h.awaitingSnapshot, h.outbox...)
	h.outbox = nil
	part := inner.WitnessBook{Holding: h.id.String(), Term: term, Seq: seq, Whole: true}
	for _, e := range h.entries {
		part.Entries = append(part.Entries, e)
	}
	return part
}

// startTerm switches to the term of the row, whose snapshot the witness has acknowledged,
// and returns the changes that the snapshot covered.
func (h *holding) startTerm(row ledger.HoldingRow) []change {
	h.applyRow(row)
	h.term = row.Term
	h.seq = 1
	h.termInDoubt = false
	return h.resume()
}

// resume ends the pause and returns the changes that the acknowledged snapshot covered.
func (h *holding) resume() []change {
	changes := h.awaitingSnapshot
	h.awaitingSnapshot = nil
	h.paused = false
	return changes
}

// takeWaiting removes and returns all changes that wait for an acknowledgement.
func (h *holding) removeWaiting() []change {
	changes := append(h.awaitingSnapshot, h.outbox...)
	h.awaitingSnapshot, h.outbox = nil, nil
	return changes
}

// notifyWaiters passes the outcome to the waiters of the changes.
func notifyWaiters(changes []change, err error) {
	for _, c := range changes {
		if c.done != nil {
			c.done <- err
		}
	}
}
