package prepaid

import (
	"context"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/budget/demand"
	"rosevalve/internal/platform/table"
)

const (
	shardCount = 16

	// callTimeout bounds one call of the store; nobody waits so long for tokens.
	callTimeout = 3 * time.Second
	// tick is the time between looks at reservations that wait, since the cover grows with time.
	tick = 25 * time.Millisecond
	// refreshAfter is how old the journal may become while tokens are held.
	refreshAfter = 500 * time.Millisecond

	// defaultGrace is longer than a VM takes to come back after it lost power, so that
	// such an end costs no more than the headroom.
	defaultGrace = 2 * time.Second
	// rateFactor is how much more than of late may be used once the grace is over.
	rateFactor = 2.5
	// spread is the time in which a holding may be used up then, at the least.
	spread = 24 * time.Second
	// headroomFactor is how much more than of late is covered for the grace.
	headroomFactor = 1.5
	// headroomShare is the largest part of what is free that is covered ahead, inverted.
	headroomShare = 8
)

// ErrExhausted reports that a workspace's total does not cover a request.
var ErrExhausted = errors.New("prepaid tokens do not cover the request")

// ErrUnavailable reports that tokens could not be had now, though some may be left.
var ErrUnavailable = errors.New("prepaid tokens could not be reserved now")

// errReplaced reports that another life of this VM writes its journal.
var errReplaced = errors.New("journal belongs to another life of this VM")

// Purse holds what this life of the VM may spend.
type Purse struct {
	// VM names the VM; all its lives share one journal.
	VM string
	// Life names this life, as by NameLife.
	Life string
	// Commit applies a commit to the store, with the errors of table.Client.
	Commit func(ctx context.Context, c table.Commit) (table.Stamp, error)
	// Read reads rows of the store.
	Read func(ctx context.Context, r table.Range) (table.Page, error)
	// Prepaid returns the workspace's total by the newest configuration.
	Prepaid func(workspace string) int64
	// Size decides how many tokens a draw takes.
	Size func(n demand.Need) int64
	// Homes lists the other routers that keep the workspace's tokens, the one to ask first
	// first, and tells whether this router keeps some too.
	Homes func(workspace string) (others []string, self bool)
	// Ask asks a router for tokens, which are this router's if it answers.
	Ask func(ctx context.Context, addr, workspace string, tokens int64) (Gift, error)
	// Offer gives a router tokens; it reports whether the router has surely taken them.
	Offer func(ctx context.Context, addr, workspace string, tokens int64) bool
	// Invite tells a router that a workspace whose tokens it keeps is in demand here; it
	// must not block.
	Invite func(addr, workspace string)
	// PickMirror returns the router that shall hold a copy of the journal, which is the
	// current one if it still can; it never is the one to avoid. Empty stands for none.
	PickMirror func(current, avoid string) string
	// TellMirror sends a note to a mirror.
	TellMirror func(ctx context.Context, addr string, note MirrorNote) (MirrorAnswer, error)
	// RecallMirror asks a router for the last note of a life of this VM.
	RecallMirror func(ctx context.Context, addr, life string) (Recalled, error)
	// AskLife asks the router that runs as a life for the last note of this VM.
	AskLife func(ctx context.Context, life string) (Recalled, error)
	// Clock returns a clock that does not stand still in a suspend.
	Clock func() time.Duration
	// Alive reports whether a life is believed to run.
	Alive func(life string) bool
	// Recent lists the lives of other VMs that are believed to run, or to have run as long ago
	// as a copy of the store may be old. It must not call the purse.
	Recent func() []string
	// Grace is how long after a write of the journal no more than its bounds are used.
	Grace time.Duration
	// OnEvent is told of what changes this life's beliefs about tokens; it must not block.
	OnEvent func(e Event)

	sealed  atomic.Bool // nothing is covered ahead any more
	once    sync.Once
	born    time.Time // no earlier than the end of the VM's last life
	seed    maphash.Seed
	shards  [shardCount]shard
	journal journal
	eras    eras
	others  copies

	distances distances
}

// shard holds a part of the holdings.
type shard struct {
	mu       sync.Mutex // guards holdings
	holdings map[string]*holding
}

func (p *Purse) init() {
	p.once.Do(func() {
		if p.Grace == 0 {
			p.Grace = defaultGrace
		}
		if p.Size == nil {
			p.Size = demand.SizeByDemand(demand.DefaultHorizon)
		}
		if p.OnEvent == nil {
			p.OnEvent = func(Event) {}
		}
		if p.Homes == nil {
			p.Homes = func(string) ([]string, bool) { return nil, true }
		}
		if p.PickMirror == nil {
			p.PickMirror = func(string, string) string { return "" }
		}
		if p.Invite == nil {
			p.Invite = func(string, string) {}
		}
		if p.Alive == nil {
			p.Alive = func(life string) bool { return life == p.Life }
		}
		p.born = time.Now()
		p.seed = maphash.MakeSeed()
		for i := range p.shards {
			p.shards[i].holdings = make(map[string]*holding)
		}
		if p.Recent == nil {
			p.Recent = func() []string { return nil }
		}
		p.eras.kicked = make(chan struct{}, 1)
		p.journal.kicked = make(chan struct{}, 1)
		p.journal.cover = cover{grace: p.Grace}
		p.journal.mirrorKicked = make(chan struct{}, 1)
		p.journal.consulted = make(chan struct{})
		p.journal.former = make(map[string]formerLife)
	})
}

// holding returns the holding of the workspace.
func (p *Purse) holding(workspace string) *holding {
	p.init()
	s := &p.shards[maphash.String(p.seed, workspace)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.holdings[workspace]
	if !ok {
		era, _ := p.eras.current()
		h = &holding{workspace: workspace, era: era}
		s.holdings[workspace] = h
	}
	return h
}

// all returns the holdings in no order.
func (p *Purse) all() []*holding {
	var out []*holding
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		for _, h := range s.holdings {
			out = append(out, h)
		}
		s.mu.Unlock()
	}
	return out
}

// Run opens the journal, keeps it and closes the holdings of ended lives, until ctx ends.
func (p *Purse) Run(ctx context.Context) error {
	p.init()
	if err := p.open(ctx); err != nil {
		return err
	}
	var parts sync.WaitGroup
	parts.Go(func() {
		p.consult(ctx)
		p.closeFormer(ctx)
	})
	parts.Go(func() { p.keepMirror(ctx) })
	parts.Go(func() { p.keepEra(ctx) })
	err := p.keepJournal(ctx)
	parts.Wait()
	return err
}

// State describes one holding for a dump.
type State struct {
	Workspace string `json:"workspace"`
	Drawn     int64  `json:"drawn"`
	Spent     int64  `json:"spent"`
	Gifts     int64  `json:"gifts"`
	Waiting   int    `json:"waiting"`
	Allowed   int64  `json:"allowed"`
}

// State dumps the holdings.
func (p *Purse) State() []State {
	p.init()
	now := time.Now()
	var out []State
	for _, h := range p.all() {
		h.mu.Lock()
		out = append(out, State{
			Workspace: h.workspace, Drawn: h.drawn, Spent: h.spent, Gifts: h.gifts,
			Waiting: len(h.waiting), Allowed: p.journal.allows(h.workspace, h.drawn, now),
		})
		h.mu.Unlock()
	}
	return out
}
