package allotment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/protocol/inner"
)

const (
	maxAppendTries       = 2
	defaultAppendTimeout = 250 * time.Millisecond
)

// ErrWitnessLost reports that no witness acknowledged an entry.
var ErrWitnessLost = errors.New("no witness acknowledged the request")

// Witness is a router that can acknowledge entries.
type Witness struct {
	// ID is its incarnation, and Addr its inner address.
	ID   string
	Addr string
}

// courier sends the changes of all holdings that have the same witness, one
// message at a time, so that parts arrive in the order of their numbers.
type courier struct {
	witness Witness

	mu    sync.Mutex // guards busy and ready
	busy  bool
	ready map[*holding]*book
}

// parcel is one holding's part of a message.
type parcel struct {
	book    *book
	holding *holding
	changes []change
}

// announce queues the attempt and waits until the witness has acknowledged it.
func (p *Purse) announce(ctx context.Context, r *Reservation, a Attempt) error {
	done := make(chan error, 1)
	paused, err := r.book.announce(r, a, done)
	if err != nil {
		return fmt.Errorf("announce run %q: %w", a.RunID, err)
	}
	if paused {
		go p.rewitness(context.WithoutCancel(ctx), r.book, r.holding)
	}
	p.kick(r.book, r.holding)
	select {
	case err := <-done:
		if err != nil {
			return fmt.Errorf("announce run %q: %w", a.RunID, err)
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("announce run %q: %w", a.RunID, ctx.Err())
	}
}

// announce queues the entry of the attempt and reports whether the holding is paused.
func (b *book) announce(r *Reservation, a Attempt, done chan error) (bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := r.holding
	if h.closed {
		return false, ledger.ErrHoldingClosed
	}
	if h.paused && time.Now().Before(h.retryAt) {
		return false, ErrWitnessLost
	}
	r.runID = a.RunID
	h.note(a.entry(r.tokens), done)
	return h.paused, nil
}

// bill records the bill and waits, for a bounded time, until the witness knows it.
func (p *Purse) bill(r *Reservation, row ledger.BillRow) {
	done := make(chan error, 1)
	row.RequestID = orElse(r.runID, row.RequestID)
	r.book.bill(r, row, done)
	p.kick(r.book, r.holding)
	timeout := time.NewTimer(p.AppendTimeout * maxAppendTries)
	defer timeout.Stop()
	select {
	case err := <-done:
		if err != nil {
			billFailures.Add(1)
		}
	case <-timeout.C:
		// The entry stays open at the witness, which covers it until it is settled.
		billFailures.Add(1)
	}
}

func orElse(s, other string) string {
	if s == "" {
		return other
	}
	return s
}

// kick sends the holding's queued changes to its witness, now or with the next message.
func (p *Purse) kick(b *book, h *holding) {
	b.mu.Lock()
	idle := len(h.outbox) == 0 || h.closed || h.paused
	w := Witness{ID: h.term.Witness, Addr: h.term.Addr}
	b.mu.Unlock()
	if idle || w.ID == "" {
		return
	}
	c := p.courier(w)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ready[h] = b
	if !c.busy {
		c.busy = true
		go p.deliver(c)
	}
}

func (p *Purse) courier(w Witness) *courier {
	p.courierMu.Lock()
	defer p.courierMu.Unlock()
	c, ok := p.couriers[w.ID]
	if !ok {
		c = &courier{witness: w, ready: make(map[*holding]*book)}
		if p.couriers == nil {
			p.couriers = make(map[string]*courier)
		}
		p.couriers[w.ID] = c
	}
	return c
}

// deliver sends messages until there is nothing more to send.
func (p *Purse) deliver(c *courier) {
	for {
		c.mu.Lock()
		ready := c.ready
		c.ready = make(map[*holding]*book)
		c.busy = len(ready) > 0
		c.mu.Unlock()
		if len(ready) == 0 {
			return
		}
		p.send(c, ready)
	}
}

// send makes one message of the holdings' changes and tells those who wait what became of it.
func (p *Purse) send(c *courier, ready map[*holding]*book) {
	msg := inner.WitnessAppend{Witness: c.witness.ID}
	var parcels []parcel
	for h, b := range ready {
		b.mu.Lock()
		if !h.closed && !h.paused && h.term.Witness == c.witness.ID && len(h.outbox) > 0 {
			part, changes := h.take()
			msg.Books = append(msg.Books, part)
			parcels = append(parcels, parcel{book: b, holding: h, changes: changes})
		}
		b.mu.Unlock()
	}
	if len(parcels) == 0 {
		return
	}
	ack, err := p.appendTo(c.witness, msg)
	if err != nil {
		p.lost(parcels)
		return
	}
	sealed := make(map[int]bool)
	for _, i := range ack.Sealed {
		sealed[i] = true
	}
	for i, pc := range parcels {
		if sealed[i] {
			pc.book.close(pc.holding, p.nextID(pc.book.id))
			finish(pc.changes, ledger.ErrHoldingClosed)
			continue
		}
		finish(pc.changes, nil)
	}
}

// appendTo sends the message, and sends the same once more if it fails.
func (p *Purse) appendTo(w Witness, msg inner.WitnessAppend) (inner.WitnessAppendAck, error) {
	var err error
	for range maxAppendTries {
		var ack inner.WitnessAppendAck
		ctx, cancel := context.WithTimeout(context.Background(), p.AppendTimeout)
		appends.Add(1)
		ack, err = p.Append(ctx, w, msg)
		cancel()
		if err == nil {
			return ack, nil
		}
	}
	appendFailures.Add(1)
	return inner.WitnessAppendAck{}, fmt.Errorf("append to witness %q: %w", w.ID, err)
}

// lost pauses the holdings whose witness did not answer, and looks for other witnesses.
func (p *Purse) lost(parcels []parcel) {
	for _, pc := range parcels {
		pc.book.mu.Lock()
		pc.holding.paused = true
		pc.book.mu.Unlock()
		finish(pc.changes, ErrWitnessLost)
		go p.rewitness(context.Background(), pc.book, pc.holding)
	}
}
