package allotment

import (
	"context"
	"fmt"
	"hash/maphash"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"

	"rosevalve/internal/budget/ledger"
)

const (
	shardCount     = 64
	maxSettleBills = 200
	settleWorkers  = 8

	defaultDraw           = 200_000 // tokens
	defaultSettleInterval = 100 * time.Millisecond
)

// ErrInsufficient reports that no tokens could be had for a reservation.
var ErrInsufficient = errors.New("insufficient tokens")

// Purse holds this router's books.
type Purse struct {
	// Ledger applies draws and settlements to the table.
	Ledger *ledger.Ledger
	// DrawSize is the number of tokens drawn at a time.
	DrawSize int64
	// SettleInterval is the time between settlements of pending bills.
	SettleInterval time.Duration
	// OnError receives failures of settlements, which are tried again.
	OnError func(err error)

	seed   maphash.Seed
	shards [shardCount]shard
	pool   pond.Pool
	lists  budgetLists
	once   sync.Once
}

// shard is the part of the books whose ids hash to it.
type shard struct {
	mu    sync.Mutex // guards books
	books map[ledger.BudgetID]*book
}

// Reservation is the worst case of one request, taken from a book.
type Reservation struct {
	book   *book
	tokens int64
	once   sync.Once
}

// Budget returns the budget that the tokens come from.
func (r *Reservation) Budget() ledger.BudgetID { return r.book.id }

// Tokens returns the reserved number of tokens.
func (r *Reservation) Tokens() int64 { return r.tokens }

// Release gives the tokens back; the request did not run.
func (r *Reservation) Release() {
	r.once.Do(func() { r.book.release(r.tokens) })
}

// Bill spends the tokens of the bill and gives the rest back. A bill over the
// reservation is cut to it, so that a wrong usage report cannot overspend.
func (r *Reservation) Bill(row ledger.BillRow) {
	r.once.Do(func() {
		row.Workspace = r.book.id.Workspace
		row.Budget = r.book.id.Name
		row.PromptTokens = min(max(row.PromptTokens, 0), r.tokens)
		row.CompletionTokens = min(max(row.CompletionTokens, 0), r.tokens-row.PromptTokens)
		r.book.bill(r.tokens, row)
	})
}

// Run settles pending bills until ctx ends.
func (p *Purse) Run(ctx context.Context) error {
	p.init()
	tick := time.NewTicker(p.SettleInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			if err := p.Settle(ctx); err != nil && p.OnError != nil {
				p.OnError(err)
			}
		}
	}
}

// Reserve takes n tokens of the budget, drawing from the table if the book has too few.
//
// Errors are ErrInsufficient and those of the ledger.
func (p *Purse) Reserve(ctx context.Context, id ledger.BudgetID, n int64) (*Reservation, error) {
	p.init()
	b := p.book(id)
	if b.reserve(n) {
		return &Reservation{book: b, tokens: n}, nil
	}
	b.lane.Lock()
	defer b.lane.Unlock()
	if b.reserve(n) {
		return &Reservation{book: b, tokens: n}, nil
	}
	h, err := p.Ledger.Draw(ctx, id, max(n, p.DrawSize))
	if err != nil && !errors.Is(err, ledger.ErrExhausted) {
		return nil, fmt.Errorf("reserve %d tokens: %w", n, err)
	}
	b.update(h)
	if !b.reserve(n) {
		return nil, fmt.Errorf("reserve %d tokens of budget %q: %w", n, id, ErrInsufficient)
	}
	return &Reservation{book: b, tokens: n}, nil
}

// Settle writes the pending bills of every book to the table once.
func (p *Purse) Settle(ctx context.Context) error {
	p.init()
	group := p.pool.NewGroup()
	for _, b := range p.books() {
		group.SubmitErr(func() error { return p.settle(ctx, b) })
	}
	if err := group.Wait(); err != nil {
		return fmt.Errorf("settle bills: %w", err)
	}
	return nil
}

// Close settles what is pending and returns what is free to the budgets.
func (p *Purse) Close(ctx context.Context) error {
	if err := p.Settle(ctx); err != nil {
		return err
	}
	for _, b := range p.books() {
		if err := p.giveBack(ctx, b); err != nil {
			return err
		}
	}
	return nil
}

// State describes one book for the process's state dump.
type State struct {
	Budget   string `json:"budget"`
	Drawn    int64  `json:"drawn"`
	Billed   int64  `json:"billed"`
	Pending  int64  `json:"pending"`
	Reserved int64  `json:"reserved"`
	Bills    int    `json:"bills"`
}

// State returns the books as they are now.
func (p *Purse) State() []State {
	var out []State
	for _, b := range p.books() {
		b.mu.Lock()
		out = append(out, State{
			Budget:   b.id.String(),
			Drawn:    b.drawn,
			Billed:   b.billed,
			Pending:  b.pending,
			Reserved: b.reserved,
			Bills:    len(b.bills),
		})
		b.mu.Unlock()
	}
	return out
}

func (p *Purse) init() {
	p.once.Do(func() {
		p.seed = maphash.MakeSeed()
		p.pool = pond.NewPool(settleWorkers)
		if p.DrawSize == 0 {
			p.DrawSize = defaultDraw
		}
		if p.SettleInterval == 0 {
			p.SettleInterval = defaultSettleInterval
		}
	})
}

func (p *Purse) book(id ledger.BudgetID) *book {
	s := &p.shards[maphash.Comparable(p.seed, id)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.books == nil {
		s.books = make(map[ledger.BudgetID]*book)
	}
	b, ok := s.books[id]
	if !ok {
		b = &book{id: id}
		s.books[id] = b
	}
	return b
}

func (p *Purse) books() []*book {
	var out []*book
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		for _, b := range s.books {
			out = append(out, b)
		}
		s.mu.Unlock()
	}
	return out
}

// settle writes the book's pending bills, a batch at a time.
func (p *Purse) settle(ctx context.Context, b *book) error {
	b.lane.Lock()
	defer b.lane.Unlock()
	for {
		batch := b.batch(maxSettleBills)
		if len(batch) == 0 {
			return nil
		}
		h, err := p.Ledger.Settle(ctx, b.id, batch)
		if err != nil {
			return err
		}
		b.settled(h)
	}
}

// giveBack returns the free tokens of the book to the budget.
func (p *Purse) giveBack(ctx context.Context, b *book) error {
	b.lane.Lock()
	defer b.lane.Unlock()
	b.mu.Lock()
	n := b.free()
	b.reserved += n
	b.mu.Unlock()
	defer b.release(n)
	if n == 0 {
		return nil
	}
	h, err := p.Ledger.Return(ctx, b.id, n)
	if err != nil {
		return fmt.Errorf("give back tokens: %w", err)
	}
	b.update(h)
	return nil
}
