package allotment

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/protocol/inner"
)

const (
	maxWitnessTries      = 3
	witnessRetryInterval = time.Second
)

// pickWitness returns a router that can be the witness and is not excluded, and
// reports whether there is one.
func (m *Manager) pickWitness(excluded []string) (Witness, bool) {
	if m.PickWitness == nil {
		return Witness{}, false
	}
	return m.PickWitness(excluded)
}

// replaceWitness resumes a paused holding with its current witness if that answers
// again, and otherwise writes a term with another witness to the table.
//
// The new witness acknowledges a snapshot of all entries before the table names it, and
// the holding starts no request in between. Hence the witness that the table names
// always has an entry for each request that the holding has started.
func (m *Manager) replaceWitness(ctx context.Context, b *budget, h *holding) {
	ctx, cancel := context.WithTimeout(ctx, m.DrawTimeout)
	defer cancel()
	if err := b.tableLock.lock(ctx); err != nil {
		m.reportError(err)
		return
	}
	defer b.tableLock.unlock()
	if !b.pause(h) {
		return
	}
	if m.resendToWitness(b, h) {
		return
	}
	term := m.snapshotToNewWitness(b, h)
	row, err := m.Ledger.SetTerm(ctx, h.id, term)
	switch {
	case errors.Is(err, ledger.ErrHoldingClosed):
		b.replaceHolding(h, m.nextID(b.id))
	case err != nil:
		m.reportError(err)
		b.recordWitnessFailure(h, errors.Is(err, ledger.ErrInDoubt))
	default:
		witnessChanges.Add(1)
		b.mu.Lock()
		changes := h.startTerm(row)
		b.mu.Unlock()
		notifyWaiters(changes, nil)
		m.scheduleAppend(b, h)
	}
}

// resendToWitness sends all entries to the current witness. It reports whether the
// holding needs no other witness: the current one has acknowledged them, or has sealed
// the book, in which case the holding is replaced.
func (m *Manager) resendToWitness(b *budget, h *holding) bool {
	b.mu.Lock()
	if h.termInDoubt || h.term.Witness == "" {
		b.mu.Unlock()
		return false
	}
	w := Witness{ID: h.term.Witness, Addr: h.term.Addr}
	part := h.currentTermSnapshot()
	b.mu.Unlock()
	ack, err := m.appendTo(w, inner.WitnessAppend{Witness: w.ID, Books: []inner.WitnessBook{part}})
	if err != nil {
		return false
	}
	if len(ack.Sealed) > 0 {
		b.replaceHolding(h, m.nextID(b.id))
		return true
	}
	b.mu.Lock()
	changes := h.resume()
	b.mu.Unlock()
	notifyWaiters(changes, nil)
	m.scheduleAppend(b, h)
	return true
}

// pause pauses the holding while its witness is replaced. It reports false if the
// holding needs no other witness or the last attempt was too recent.
func (b *budget) pause(h *holding) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed || !h.opened || (!h.paused && h.term.Witness != "") {
		return false
	}
	if time.Now().Before(h.witnessRetryAt) {
		return false
	}
	h.paused = true
	h.witnessRetryAt = time.Time{}
	return true
}

// recordWitnessFailure fails the waiting changes after an attempt to replace the witness,
// and sets the time of the next attempt. A holding without a witness resumes without one
// unless a term with a witness may still take effect.
func (b *budget) recordWitnessFailure(h *holding, inDoubt bool) {
	b.mu.Lock()
	h.witnessRetryAt = time.Now().Add(witnessRetryInterval)
	h.termInDoubt = h.termInDoubt || inDoubt
	changes := h.removeWaiting()
	err := ErrNotAcknowledged
	if !h.termInDoubt && h.term.Witness == "" {
		h.paused = false
		err = nil
	}
	b.mu.Unlock()
	notifyWaiters(changes, err)
}

// snapshotToNewWitness sends a snapshot of all entries to a new witness and returns the
// term to write to the table. The term has no witness if none acknowledged.
func (m *Manager) snapshotToNewWitness(b *budget, h *holding) ledger.Term {
	var excluded []string
	for range maxWitnessTries {
		w, ok := m.pickWitness(excluded)
		if !ok {
			break
		}
		b.mu.Lock()
		part := h.newTermSnapshot()
		b.mu.Unlock()
		msg := inner.WitnessAppend{Witness: w.ID, Books: []inner.WitnessBook{part}}
		ack, err := m.appendTo(w, msg)
		if err == nil && len(ack.Sealed) == 0 {
			return ledger.Term{Number: part.Term, Witness: w.ID, Addr: w.Addr}
		}
		excluded = append(excluded, w.ID)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return ledger.Term{Number: h.newTermSnapshot().Term}
}
