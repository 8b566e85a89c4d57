package allotment

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/protocol/inner"
)

const (
	maxWitnessTries = 3
	rewitnessRetry  = time.Second
)

// pick returns a router that can be the witness and is not excluded.
func (p *Purse) pick(excluded []string) (Witness, bool) {
	if p.PickWitness == nil {
		return Witness{}, false
	}
	return p.PickWitness(excluded)
}

// rewitness goes on with the present witness of a paused holding if that answers
// again, and otherwise names another.
//
// The new witness knows all entries before the table names it, and the holding
// starts nothing in between; so whichever witness the table names can tell all
// that the holding has started.
func (p *Purse) rewitness(ctx context.Context, b *book, h *holding) {
	ctx, cancel := context.WithTimeout(ctx, p.DrawTimeout)
	defer cancel()
	if err := b.lane.lock(ctx); err != nil {
		p.warn(err)
		return
	}
	defer b.lane.unlock()
	if !b.pause(h) {
		return
	}
	if p.again(b, h) {
		return
	}
	term := p.introduce(b, h)
	row, err := p.Ledger.Rename(ctx, h.id, term)
	switch {
	case errors.Is(err, ledger.ErrHoldingClosed):
		b.close(h, p.nextID(b.id))
	case err != nil:
		p.warn(err)
		b.giveUp(h, errors.Is(err, ledger.ErrInDoubt))
	default:
		renames.Add(1)
		b.mu.Lock()
		changes := h.begin(row)
		b.mu.Unlock()
		finish(changes, nil)
		p.kick(b, h)
	}
}

// again reports whether the present witness has taken all entries, or is sealed.
func (p *Purse) again(b *book, h *holding) bool {
	b.mu.Lock()
	if h.renaming || h.term.Witness == "" {
		b.mu.Unlock()
		return false
	}
	w := Witness{ID: h.term.Witness, Addr: h.term.Addr}
	part := h.repeat()
	b.mu.Unlock()
	ack, err := p.appendTo(w, inner.WitnessAppend{Witness: w.ID, Books: []inner.WitnessBook{part}})
	if err != nil {
		return false
	}
	if len(ack.Sealed) > 0 {
		b.close(h, p.nextID(b.id))
		return true
	}
	b.mu.Lock()
	changes := h.resume()
	b.mu.Unlock()
	finish(changes, nil)
	p.kick(b, h)
	return true
}

// pause stops the holding until it has another witness; it reports false if there is no need.
func (b *book) pause(h *holding) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed || !h.opened || (!h.paused && h.term.Witness != "") {
		return false
	}
	if time.Now().Before(h.retryAt) {
		return false
	}
	h.paused = true
	h.retryAt = time.Time{}
	return true
}

// giveUp ends a search for a witness that failed; the next one comes later. A
// holding that surely has no witness yet goes on without one.
func (b *book) giveUp(h *holding, inDoubt bool) {
	b.mu.Lock()
	h.retryAt = time.Now().Add(rewitnessRetry)
	h.renaming = h.renaming || inDoubt
	changes := h.waiting()
	err := ErrWitnessLost
	if !h.renaming && h.term.Witness == "" {
		h.paused = false
		err = nil
	}
	b.mu.Unlock()
	finish(changes, err)
}

// introduce gives all entries to a new witness and returns the term to be named,
// which has no witness if none answers.
func (p *Purse) introduce(b *book, h *holding) ledger.Term {
	var excluded []string
	for range maxWitnessTries {
		w, ok := p.pick(excluded)
		if !ok {
			break
		}
		b.mu.Lock()
		part := h.snapshot()
		b.mu.Unlock()
		msg := inner.WitnessAppend{Witness: w.ID, Books: []inner.WitnessBook{part}}
		ack, err := p.appendTo(w, msg)
		if err == nil && len(ack.Sealed) == 0 {
			return ledger.Term{Number: part.Term, Witness: w.ID, Addr: w.Addr}
		}
		excluded = append(excluded, w.ID)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return ledger.Term{Number: h.snapshot().Term}
}
