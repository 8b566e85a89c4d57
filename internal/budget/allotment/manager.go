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
	maxSettleBills = table.MaxPuts - 1 // the commit also writes the holding's row
	settleWorkers  = 8

	defaultSettleInterval = 100 * time.Millisecond
	defaultDrawTimeout    = 2 * time.Second
	defaultIdleTimeout    = 30 * time.Second
)

// warningLevels are the committed shares of a budget, in percent, at which operators are warned.
var warningLevels = []int64{80, 95, 100}

// Manager manages the tokens that this router has drawn from all budgets.
type Manager struct {
	// Ledger applies draws and settlements to the table.
	Ledger *ledger.Ledger
	// DrawSize returns the number of tokens to draw; nil stands for
	// demand.SizeByDemand with demand.DefaultHorizon.
	DrawSize func(input demand.DrawInput) int64
	// SettleInterval is the time between settlements of pending bills.
	SettleInterval time.Duration
	// DrawTimeout limits the table operations of one draw, settlement or change of witness.
	DrawTimeout time.Duration
	// WitnessSuspected reports whether a witness is suspected to have failed; nil stands for never.
	WitnessSuspected func(id string) bool
	// IdleTimeout is the time without requests after which free tokens are returned.
	IdleTimeout time.Duration
	// AppendTimeout limits one call to a witness.
	AppendTimeout time.Duration
	// PickWitness returns a router, preferably in another failure domain, whose id is
	// not excluded; nil stands for holdings without a witness.
	PickWitness func(excluded []string) (Witness, bool)
	// AppendToWitness sends entries to a witness.
	AppendToWitness func(ctx context.Context, w Witness, in inner.WitnessAppend) (inner.WitnessAppendAck, error)
	// RecallFromPeers asks peers to return their free tokens of a budget and returns the number
	// of tokens returned; nil stands for no recall.
	RecallFromPeers func(ctx context.Context, id ledger.BudgetID) int64
	// OnWarningLevel is called when the drawn and billed share of a budget rises to a warning
	// level, in percent; nil stands for no calls.
	OnWarningLevel func(id ledger.BudgetID, percent int64)
	// OnError receives errors of background work, which is retried; nil drops them.
	OnError func(err error)

	seed         maphash.Seed
	shards       [shardCount]shard
	pool         pond.Pool
	listCache    budgetListCache
	once         sync.Once
	holdingCount atomic.Uint64 // number of holdings created; part of their names

	appendersMu sync.Mutex                  // guards appenders
	appenders   map[string]*witnessAppender // by id of the witness
}

// shard is the part of the budgets whose ids hash to it.
type shard struct {
	mu      sync.Mutex // guards budgets
	budgets map[ledger.BudgetID]*budget
}

// Run calls Settle every SettleInterval until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	m.init()
	tick := time.NewTicker(m.SettleInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			if err := m.Settle(ctx); err != nil {
				m.reportError(err)
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

// State returns a snapshot of all current and former holdings.
func (m *Manager) State() []State {
	var out []State
	for _, b := range m.allBudgets() {
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

func (m *Manager) init() {
	m.once.Do(func() {
		m.seed = maphash.MakeSeed()
		m.pool = pond.NewPool(settleWorkers)
		if m.DrawSize == nil {
			m.DrawSize = demand.SizeByDemand(demand.DefaultHorizon)
		}
		setDefault(&m.SettleInterval, defaultSettleInterval)
		setDefault(&m.DrawTimeout, defaultDrawTimeout)
		setDefault(&m.IdleTimeout, defaultIdleTimeout)
		setDefault(&m.AppendTimeout, defaultAppendTimeout)
	})
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

func (m *Manager) reportError(err error) {
	if m.OnError != nil {
		m.OnError(err)
	}
}

// nextID returns an id for a new holding, which this router incarnation has not used.
func (m *Manager) nextID(id ledger.BudgetID) ledger.HoldingID {
	return ledger.HoldingID{Budget: id, Name: fmt.Sprintf("%s.%d", m.Ledger.Holder, m.holdingCount.Add(1))}
}

func (m *Manager) budget(id ledger.BudgetID) *budget {
	s := &m.shards[maphash.Comparable(m.seed, id)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.budgets == nil {
		s.budgets = make(map[ledger.BudgetID]*budget)
	}
	b, ok := s.budgets[id]
	if !ok {
		b = &budget{id: id, tableLock: newTableLock(), current: newHolding(m.nextID(id))}
		s.budgets[id] = b
	}
	return b
}

func (m *Manager) allBudgets() []*budget {
	var out []*budget
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		for _, b := range s.budgets {
			out = append(out, b)
		}
		s.mu.Unlock()
	}
	return out
}
