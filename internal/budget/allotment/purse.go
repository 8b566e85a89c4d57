package allotment

import (
	"context"
	"fmt"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"

	"rosevalve/internal/budget/demand"
	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
)

const (
	shardCount     = 64
	maxSettleBills = table.MaxPuts - 1 // beside the holding's row
	settleWorkers  = 8

	defaultSettleInterval = 100 * time.Millisecond
	defaultDrawTimeout    = 2 * time.Second
	defaultIdleAfter      = 30 * time.Second
)

// warningLevels are the shares of a budget, in percent, that operators are warned at.
var warningLevels = []int64{80, 95, 100}

// Purse holds this router's books.
type Purse struct {
	// Ledger applies draws and settlements to the table.
	Ledger *ledger.Ledger
	// Size decides how many tokens a draw takes.
	Size func(d demand.Need) int64
	// SettleInterval is the time between settlements of pending bills.
	SettleInterval time.Duration
	// DrawTimeout bounds one operation on the table.
	DrawTimeout time.Duration
	// WitnessGone reports whether a witness is believed to be dead; nil stands for no.
	WitnessGone func(id string) bool
	// IdleAfter is how long free tokens are kept without a request.
	IdleAfter time.Duration
	// AppendTimeout bounds one call of a witness.
	AppendTimeout time.Duration
	// PickWitness returns a router in another failure domain that is not excluded.
	PickWitness func(excluded []string) (Witness, bool)
	// Append sends entries to a witness.
	Append func(ctx context.Context, w Witness, in inner.WitnessAppend) (inner.WitnessAppendAck, error)
	// Recall asks peers to return their free tokens of a budget and returns the sum.
	Recall func(ctx context.Context, id ledger.BudgetID) int64
	// OnLevel receives a budget whose billed and drawn tokens reach a warning level, in percent.
	OnLevel func(id ledger.BudgetID, percent int64)
	// OnError receives failures of work that is tried again.
	OnError func(err error)

	seed   maphash.Seed
	shards [shardCount]shard
	pool   pond.Pool
	lists  budgetLists
	once   sync.Once
	serial atomic.Uint64 // counts holdings

	courierMu sync.Mutex // guards couriers
	couriers  map[string]*courier
}

// shard is the part of the books whose ids hash to it.
type shard struct {
	mu    sync.Mutex // guards books
	books map[ledger.BudgetID]*book
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
			if err := p.Settle(ctx); err != nil {
				p.warn(err)
			}
		}
	}
}

// State describes one holding for the process's state dump.
type State struct {
	Holding  string `json:"holding"`
	Closed   bool   `json:"closed,omitempty"`
	Drawn    int64  `json:"drawn"`
	Billed   int64  `json:"billed"`
	Pending  int64  `json:"pending"`
	Reserved int64  `json:"reserved"`
	Bills    int    `json:"bills"`
	Witness  string `json:"witness,omitempty"`
	Term     uint64 `json:"term"`
	Paused   bool   `json:"paused,omitempty"`
}

// State returns the holdings as they are now.
func (p *Purse) State() []State {
	var out []State
	for _, b := range p.books() {
		b.mu.Lock()
		for _, h := range append([]*holding{b.current}, b.former...) {
			out = append(out, h.state())
		}
		b.mu.Unlock()
	}
	return out
}

func (h *holding) state() State {
	return State{
		Holding:  h.id.String(),
		Closed:   h.closed,
		Drawn:    h.drawn,
		Billed:   h.billed,
		Pending:  h.pending,
		Reserved: h.reserved,
		Bills:    len(h.bills),
		Witness:  h.term.Witness,
		Term:     h.term.Number,
		Paused:   h.paused,
	}
}

func (p *Purse) init() {
	p.once.Do(func() {
		p.seed = maphash.MakeSeed()
		p.pool = pond.NewPool(settleWorkers)
		if p.Size == nil {
			p.Size = demand.SizeByDemand(demand.DefaultHorizon)
		}
		setDefault(&p.SettleInterval, defaultSettleInterval)
		setDefault(&p.DrawTimeout, defaultDrawTimeout)
		setDefault(&p.IdleAfter, defaultIdleAfter)
		setDefault(&p.AppendTimeout, defaultAppendTimeout)
	})
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

func (p *Purse) warn(err error) {
	if p.OnError != nil {
		p.OnError(err)
	}
}

// nextID names a new holding.
func (p *Purse) nextID(id ledger.BudgetID) ledger.HoldingID {
	return ledger.HoldingID{Budget: id, Name: fmt.Sprintf("%s.%d", p.Ledger.Holder, p.serial.Add(1))}
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
		b = &book{id: id, lane: newLane(), current: newHolding(p.nextID(id))}
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
