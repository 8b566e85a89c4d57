package allotment

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/protocol/inner"
)

// Settle writes the pending bills of every book to the table once, and tends to
// holdings that wait for a witness or have tokens to return.
func (p *Purse) Settle(ctx context.Context) error {
	p.init()
	if err := p.settleTogether(ctx); err != nil {
		return err
	}
	group := p.pool.NewGroup()
	for _, b := range p.books() {
		group.SubmitErr(func() error { return p.tend(ctx, b) })
	}
	if err := group.Wait(); err != nil {
		return fmt.Errorf("settle bills: %w", err)
	}
	return nil
}

// tend does what is due for one book.
func (p *Purse) tend(ctx context.Context, b *book) error {
	ctx, cancel := context.WithTimeout(ctx, p.DrawTimeout)
	defer cancel()
	current, former := b.holdings()
	if p.needsWitness(b, current) {
		p.rewitness(ctx, b, current)
	}
	if err := b.lane.lock(ctx); err != nil {
		return err
	}
	defer b.lane.unlock()
	if err := p.settle(ctx, b, current); err != nil {
		return err
	}
	for _, h := range former {
		if err := p.resolve(ctx, b, h); err != nil {
			return err
		}
	}
	b.forget()
	if b.surplus(current, p.IdleAfter) {
		return p.retire(ctx, b, current)
	}
	return nil
}

// needsWitness reports whether the holding is paused, or has no witness although one could be had.
func (p *Purse) needsWitness(b *book, h *holding) bool {
	_, ok := p.pick(nil)
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.term.Witness != "" && p.WitnessGone != nil && p.WitnessGone(h.term.Witness) {
		h.paused = true
	}
	return h.opened && !h.closed && (h.paused || (ok && h.term.Witness == ""))
}

// surplus reports whether no request has asked for the holding in a while, or a
// return or an end of it must be tried again.
func (b *book) surplus(h *holding, idle time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return h.uncertain || (h.opened && time.Since(b.demand.At()) > idle)
}

// settle writes the holding's pending bills, a batch at a time. The caller holds the lane.
func (p *Purse) settle(ctx context.Context, b *book, h *holding) error {
	for {
		batch := b.batch(h, maxSettleBills)
		if len(batch) == 0 {
			return nil
		}
		row, err := p.Ledger.Settle(ctx, h.id, batch)
		if errors.Is(err, ledger.ErrHoldingClosed) {
			b.close(h, p.nextID(b.id))
			return nil
		}
		if err != nil {
			return err
		}
		settlements.Add(1)
		settledBills.Add(int64(len(batch)))
		b.settled(h, row)
	}
}

// resolve brings a holding to its end that this router has been refused. The caller holds the lane.
func (p *Purse) resolve(ctx context.Context, b *book, h *holding) error {
	live := b.beginResolve(h)
	batch := b.batch(h, maxSettleBills)
	row, err := p.Ledger.Settle(ctx, h.id, batch)
	switch {
	case err == nil:
		// The book is sealed, but no router has closed the holding yet.
		b.settled(h, row)
		err = p.finishSealed(ctx, b, h)
	case errors.Is(err, ledger.ErrHoldingClosed):
		err = p.report(ctx, b, h, batch, live)
	}
	if err != nil {
		b.unresolved(h)
	}
	return err
}

// finishSealed finishes a sealed holding if nothing of it is left, or has it tended again.
func (p *Purse) finishSealed(ctx context.Context, b *book, h *holding) error {
	b.mu.Lock()
	h.resolved = h.reserved == 0 && len(h.bills) == 0
	done := h.resolved
	b.mu.Unlock()
	if !done {
		return nil
	}
	return p.Ledger.Finish(ctx, h.id)
}

// report gives the outcomes of the open entries of a closed holding to the table.
func (p *Purse) report(ctx context.Context, b *book, h *holding, batch []ledger.BillRow, live map[string]bool) error {
	bills := make(map[string]*ledger.BillRow, len(batch))
	for i := range batch {
		bills[batch[i].RequestID] = &batch[i]
	}
	err := p.Ledger.Resolve(ctx, h.id, func(e ledger.Entry) ledger.Resolution {
		if bill, ok := bills[e.RunID]; ok {
			return ledger.Resolution{Known: true, Bill: bill}
		}
		// This router knows all that it has started; what is not live did not run.
		return ledger.Resolution{Known: !live[e.RunID]}
	})
	if err != nil {
		return err
	}
	if len(batch) > 0 {
		unpaid, err := p.Ledger.BillLate(ctx, h.id, batch)
		if err != nil {
			return err
		}
		unpaidBills.Add(int64(len(unpaid)))
	}
	b.settled(h, ledger.HoldingRow{})
	return nil
}

// beginResolve returns the run ids that have no settled outcome.
func (b *book) beginResolve(h *holding) map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.resolved = true
	out := make(map[string]bool, len(h.entries))
	for id := range h.entries {
		out[id] = true
	}
	return out
}

// unresolved makes the next round resolve the holding again.
func (b *book) unresolved(h *holding) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.resolved = false
}

// ReturnFree gives the budget's free tokens back and returns how many there were.
func (p *Purse) ReturnFree(ctx context.Context, id ledger.BudgetID) (int64, error) {
	p.init()
	b := p.book(id)
	if err := b.lane.lock(ctx); err != nil {
		return 0, err
	}
	defer b.lane.unlock()
	h, _ := b.holdings()
	b.mu.Lock()
	n := h.free()
	b.mu.Unlock()
	if err := p.giveBack(ctx, b, h); err != nil {
		return 0, err
	}
	return n, nil
}

// giveBack returns the free tokens of the holding to the budget. The caller holds the lane.
func (p *Purse) giveBack(ctx context.Context, b *book, h *holding) error {
	if err := p.fence(ctx, b, h); err != nil {
		return err
	}
	b.mu.Lock()
	n := h.free()
	h.withheld += max(n, 0)
	b.mu.Unlock()
	if n <= 0 {
		return nil
	}
	row, err := p.Ledger.Return(ctx, h.id, n)
	if errors.Is(err, ledger.ErrHoldingClosed) {
		b.close(h, p.nextID(b.id))
		return nil
	}
	if err != nil {
		b.withdrawn(h, errors.Is(err, ledger.ErrInDoubt))
		return fmt.Errorf("give back tokens: %w", err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	returns.Add(1)
	h.update(row)
	h.withheld = 0
	return nil
}

// fence learns whether an earlier return has taken effect, and rules out that it
// does later. The caller holds the lane.
func (p *Purse) fence(ctx context.Context, b *book, h *holding) error {
	b.mu.Lock()
	uncertain := h.uncertain
	b.mu.Unlock()
	if !uncertain {
		return nil
	}
	row, err := p.Ledger.Fence(ctx, h.id)
	if errors.Is(err, ledger.ErrHoldingClosed) {
		b.close(h, p.nextID(b.id))
		return nil
	}
	if err != nil {
		return fmt.Errorf("give back tokens: %w", err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	h.update(row)
	h.withheld = 0
	h.uncertain = false
	return nil
}

// Close settles what is pending, returns what is free, and finishes the holdings
// that have no request in flight. Nothing may be reserved after it.
func (p *Purse) Close(ctx context.Context) error {
	if err := p.Settle(ctx); err != nil {
		return err
	}
	for _, b := range p.books() {
		if err := p.finishBook(ctx, b); err != nil {
			return err
		}
	}
	return nil
}

func (p *Purse) finishBook(ctx context.Context, b *book) error {
	if err := b.lane.lock(ctx); err != nil {
		return err
	}
	defer b.lane.unlock()
	h, former := b.holdings()
	if err := p.retire(ctx, b, h); err != nil {
		return err
	}
	for _, h := range append(former, h) {
		if err := p.resolveClosed(ctx, b, h); err != nil {
			return err
		}
	}
	return nil
}

// resolveClosed resolves the holding if it is closed and has not been resolved yet.
func (p *Purse) resolveClosed(ctx context.Context, b *book, h *holding) error {
	b.mu.Lock()
	due := h.closed && !h.resolved
	b.mu.Unlock()
	if !due {
		return nil
	}
	return p.resolve(ctx, b, h)
}

// retire ends a holding that has nothing in flight, or returns what is free of it.
// The caller holds the lane.
func (p *Purse) retire(ctx context.Context, b *book, h *holding) error {
	b.mu.Lock()
	tried := h.lastTerm > 0 && !h.closed
	b.mu.Unlock()
	if !tried {
		return nil
	}
	if !b.suspend(h) {
		return p.giveBack(ctx, b, h)
	}
	err := p.Ledger.Finish(ctx, h.id)
	if err != nil && !errors.Is(err, ledger.ErrHoldingClosed) {
		b.withdrawn(h, errors.Is(err, ledger.ErrInDoubt))
		return err
	}
	b.close(h, p.nextID(b.id))
	if err == nil {
		b.mu.Lock()
		h.resolved = true
		b.mu.Unlock()
		p.dismiss(h)
	}
	return nil
}

// suspend withholds all free tokens of a holding with nothing in flight, so that
// nothing is reserved while its row goes away. It reports false if something is.
func (b *book) suspend(h *holding) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed || !h.idle() {
		return false
	}
	h.withheld += h.free()
	return true
}

// withdrawn ends an attempt to give tokens back that has failed.
func (b *book) withdrawn(h *holding, inDoubt bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.uncertain = h.uncertain || inDoubt
	if !h.uncertain {
		h.withheld = 0
	}
}

// dismiss tells the witness that the holding is finished; it is safe if that is lost.
func (p *Purse) dismiss(h *holding) {
	if h.term.Witness == "" {
		return
	}
	final := inner.WitnessBook{Holding: h.id.String(), Term: h.term.Number, Final: true}
	msg := inner.WitnessAppend{Witness: h.term.Witness, Books: []inner.WitnessBook{final}}
	if _, err := p.appendTo(Witness{ID: h.term.Witness, Addr: h.term.Addr}, msg); err != nil {
		p.warn(err)
	}
}
