package allotment

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/platform/table"
)

// pack is the bills of many books for one commit. It holds the lanes of its books.
type pack struct {
	books    []*book
	holdings []*holding
	batches  []ledger.Batch
	rows     int
}

// add takes as many bills of the book as there is room for; false means that the pack is full.
func (k *pack) add(b *book) bool {
	room := table.MaxPuts - k.rows - 1
	if len(k.books) > 0 && room < max(b.pending(), 1) {
		return false // a book whose bills are split costs a commit of its own for the rest
	}
	h, _ := b.holdings()
	bills := b.batch(h, room)
	if len(bills) == 0 {
		b.lane.unlock()
		return true
	}
	k.books = append(k.books, b)
	k.holdings = append(k.holdings, h)
	k.batches = append(k.batches, ledger.Batch{Holding: h.id, Bills: bills})
	k.rows += len(bills) + 1
	return true
}

// settleTogether writes the pending bills of all books whose lanes are free, with
// as few commits as possible.
func (p *Purse) settleTogether(ctx context.Context) error {
	k := &pack{}
	for _, b := range p.books() {
		if b.pending() == 0 || !b.lane.tryLock() {
			continue
		}
		if k.add(b) {
			continue
		}
		if err := p.commit(ctx, k); err != nil {
			b.lane.unlock()
			return err
		}
		k = &pack{}
		k.add(b)
	}
	return p.commit(ctx, k)
}

// pending returns the number of bills that wait for the table.
func (b *book) pending() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.current.bills)
}

// commit settles the pack and frees its lanes.
func (p *Purse) commit(ctx context.Context, k *pack) error {
	defer k.unlock()
	if len(k.batches) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.DrawTimeout)
	defer cancel()
	settled, err := p.Ledger.SettleMany(ctx, k.batches)
	if err != nil {
		return fmt.Errorf("settle bills: %w", err)
	}
	settlements.Add(1)
	for i, s := range settled {
		if errors.Is(s.Err, ledger.ErrHoldingClosed) {
			k.books[i].close(k.holdings[i], p.nextID(k.books[i].id))
			continue
		}
		if s.Err != nil {
			p.warn(s.Err)
			continue
		}
		settledBills.Add(int64(len(k.batches[i].Bills)))
		k.books[i].settled(k.holdings[i], s.Row)
	}
	return nil
}

func (k *pack) unlock() {
	for _, b := range k.books {
		b.lane.unlock()
	}
}
