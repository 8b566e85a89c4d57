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

// ErrNotAcknowledged reports that no witness acknowledged an entry.
var ErrNotAcknowledged = errors.New("no witness acknowledged the request")

// Witness is a router that keeps a copy of the entries of other routers' holdings.
type Witness struct {
	// ID is the incarnation of the router, and Addr the address of its inner protocol.
	ID   string
	Addr string
}

// witnessAppender sends the changes of all holdings that share a witness. It has at
// most one message in flight, so that parts arrive in the order of their sequence
// numbers.
type witnessAppender struct {
	witness Witness

	mu      sync.Mutex           // guards sending and queued
	sending bool                 // a goroutine runs runAppender
	queued  map[*holding]*budget // holdings that may have changes to send
}

// sentPart is the part of one holding in a message, with the changes it carries.
type sentPart struct {
	budget  *budget
	holding *holding
	changes []change
}

// recordAttempt queues an open entry for the witness and waits for the acknowledgement.
func (m *Manager) recordAttempt(ctx context.Context, r *Reservation, a Attempt) error {
	done := make(chan error, 1)
	paused, err := r.budget.recordAttempt(r, a, done)
	if err != nil {
		return fmt.Errorf("record attempt of run %q: %w", a.RunID, err)
	}
	if paused {
		go m.replaceWitness(context.WithoutCancel(ctx), r.budget, r.holding)
	}
	m.scheduleAppend(r.budget, r.holding)
	select {
	case err := <-done:
		if err != nil {
			return fmt.Errorf("record attempt of run %q: %w", a.RunID, err)
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("record attempt of run %q: %w", a.RunID, ctx.Err())
	}
}

// recordAttempt queues an open entry for the attempt and reports whether the holding is
// paused. done receives the outcome, unless recordAttempt returns an error.
func (b *budget) recordAttempt(r *Reservation, a Attempt, done chan error) (bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := r.holding
	if h.closed {
		return false, ledger.ErrHoldingClosed
	}
	if h.paused && time.Now().Before(h.witnessRetryAt) {
		return false, ErrNotAcknowledged
	}
	r.runID = a.RunID
	h.recordEntry(a.entry(r.tokens), done)
	return h.paused, nil
}

// bill records the bill and waits for the acknowledgement of the witness, for at
// most the time of maxAppendTries appends.
func (m *Manager) bill(r *Reservation, row ledger.BillRow) {
	done := make(chan error, 1)
	row.RequestID = firstNonEmpty(r.runID, row.RequestID)
	r.budget.bill(r, row, done)
	m.scheduleAppend(r.budget, r.holding)
	timeout := time.NewTimer(m.AppendTimeout * maxAppendTries)
	defer timeout.Stop()
	select {
	case err := <-done:
		if err != nil {
			billFailures.Add(1)
		}
	case <-timeout.C:
		// The entry stays open at the witness, so its worst case stays reserved if the
		// holding is closed before the bill is settled.
		billFailures.Add(1)
	}
}

func firstNonEmpty(s, other string) string {
	if s == "" {
		return other
	}
	return s
}

// scheduleAppend has the holding's queued changes sent to its witness, at once or,
// if a message is in flight, with the next one.
func (m *Manager) scheduleAppend(b *budget, h *holding) {
	b.mu.Lock()
	nothingToSend := len(h.outbox) == 0 || h.closed || h.paused
	w := Witness{ID: h.term.Witness, Addr: h.term.Addr}
	b.mu.Unlock()
	if nothingToSend || w.ID == "" {
		return
	}
	a := m.appenderFor(w)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queued[h] = b
	if !a.sending {
		a.sending = true
		go m.runAppender(a)
	}
}

func (m *Manager) appenderFor(w Witness) *witnessAppender {
	m.appendersMu.Lock()
	defer m.appendersMu.Unlock()
	a, ok := m.appenders[w.ID]
	if !ok {
		a = &witnessAppender{witness: w, queued: make(map[*holding]*budget)}
		if m.appenders == nil {
			m.appenders = make(map[string]*witnessAppender)
		}
		m.appenders[w.ID] = a
	}
	return a
}

// runAppender sends messages until no holding is queued.
func (m *Manager) runAppender(a *witnessAppender) {
	for {
		a.mu.Lock()
		queued := a.queued
		a.queued = make(map[*holding]*budget)
		a.sending = len(queued) > 0
		a.mu.Unlock()
		if len(queued) == 0 {
			return
		}
		m.sendQueued(a, queued)
	}
}

// sendQueued sends the changes of the holdings in one message and passes the outcome
// to the waiters. A holding whose book is sealed at the witness is replaced.
func (m *Manager) sendQueued(a *witnessAppender, queued map[*holding]*budget) {
	msg := inner.WitnessAppend{Witness: a.witness.ID}
	var sent []sentPart
	for h, b := range queued {
		b.mu.Lock()
		if !h.closed && !h.paused && h.term.Witness == a.witness.ID && len(h.outbox) > 0 {
			part, changes := h.nextPart()
			msg.Books = append(msg.Books, part)
			sent = append(sent, sentPart{budget: b, holding: h, changes: changes})
		}
		b.mu.Unlock()
	}
	if len(sent) == 0 {
		return
	}
	ack, err := m.appendTo(a.witness, msg)
	if err != nil {
		m.handleAppendFailure(sent)
		return
	}
	sealed := make(map[int]bool)
	for _, i := range ack.Sealed {
		sealed[i] = true
	}
	for i, sp := range sent {
		if sealed[i] {
			sp.budget.replaceHolding(sp.holding, m.nextID(sp.budget.id))
			notifyWaiters(sp.changes, ledger.ErrHoldingClosed)
			continue
		}
		notifyWaiters(sp.changes, nil)
	}
}

// appendTo sends the message, at most maxAppendTries times. A retry is safe: the
// witness ignores sequence numbers that it has applied.
func (m *Manager) appendTo(w Witness, msg inner.WitnessAppend) (inner.WitnessAppendAck, error) {
	var err error
	for range maxAppendTries {
		var ack inner.WitnessAppendAck
		ctx, cancel := context.WithTimeout(context.Background(), m.AppendTimeout)
		appends.Add(1)
		ack, err = m.AppendToWitness(ctx, w, msg)
		cancel()
		if err == nil {
			return ack, nil
		}
	}
	appendFailures.Add(1)
	return inner.WitnessAppendAck{}, fmt.Errorf("append to witness %q: %w", w.ID, err)
}

// handleAppendFailure pauses the holdings whose witness did not answer, and starts to
// replace the witness of each.
func (m *Manager) handleAppendFailure(sent []sentPart) {
	for _, sp := range sent {
		sp.budget.mu.Lock()
		sp.holding.paused = true
		sp.budget.mu.Unlock()
		notifyWaiters(sp.changes, ErrNotAcknowledged)
		go m.replaceWitness(context.Background(), sp.budget, sp.holding)
	}
}
