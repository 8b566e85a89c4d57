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

	// callTimeout limits one call to the store. It exceeds the time for which any request
	// waits for tokens.
	callTimeout = 3 * time.Second
	// waitPollInterval is the interval at which waiting reservations are checked again, since
	// the bounds in force rise with time.
	waitPollInterval = 25 * time.Millisecond
	// journalRefreshInterval is the maximum age of the journal's row while tokens are held.
	journalRefreshInterval = 500 * time.Millisecond

	// defaultGrace is longer than a VM takes to restart after a power loss, so that such a
	// restart loses no more than the headroom.
	defaultGrace = 2 * time.Second
	// rateFactor is the rate allowed after the grace period, as a multiple of the recent rate.
	rateFactor = 2.5
	// fullSpendTime is the time after the grace period in which a whole holding may be spent;
	// the allowed rate is always sufficient for that.
	fullSpendTime = 24 * time.Second
	// headroomFactor is the headroom for the grace period, as a multiple of the recent demand.
	headroomFactor = 1.5
	// headroomDivisor limits the headroom to the free tokens divided by it.
	headroomDivisor = 6
	// firmDivisor limits what a lost VM costs of a workspace's total: the total divided by it. If all eight
	// home routers are lost at once, 97 in 100 are left beside the reserve. Smaller losses need more
	// frequent journal writes.
	firmDivisor = 350
)

// ErrExhausted reports that a workspace's total does not cover a request.
var ErrExhausted = errors.New("prepaid tokens do not cover the request")

// ErrUnavailable reports that tokens could not be reserved now, though some may be left.
var ErrUnavailable = errors.New("prepaid tokens could not be reserved now")

// errReclaimed reports that another router believes this VM to be lost and has taken over the
// journal to reclaim its holdings.
var errReclaimed = errors.New("another router has reclaimed the holdings of this VM")

// errReplaced reports that another incarnation of this VM has taken over the journal.
var errReplaced = errors.New("journal was taken over by another incarnation of this VM")

// Manager manages the prepaid tokens that this incarnation may spend. Its exported fields are set
// before first use.
type Manager struct {
	// VM is the name of the VM; all its incarnations share one journal.
	VM string
	// Incarnation is the ID of this incarnation, as returned by NewIncarnationID.
	Incarnation string
	// Commit applies a commit to the store, with the errors of table.Client.
	Commit func(ctx context.Context, c table.Commit) (table.Stamp, error)
	// Read reads a range of rows from the store.
	Read func(ctx context.Context, r table.Range) (table.Page, error)
	// PrepaidTotal returns the workspace's total according to the newest configuration, in tokens.
	PrepaidTotal func(workspace string) int64
	// DrawSize returns the number of tokens that a draw takes.
	DrawSize func(n demand.DrawInput) int64
	// HomeRouters returns the other home routers of the workspace, in the order in which to ask
	// them, and whether this router is one of them. Home routers hold the workspace's tokens.
	HomeRouters func(workspace string) (others []string, self bool)
	// RequestTransfer requests tokens from a router. They belong to this router if the call
	// succeeds.
	RequestTransfer func(ctx context.Context, addr, workspace string, tokens int64) (Transfer, error)
	// OfferTransfer transfers tokens to a router. It reports whether the router has certainly
	// accepted them.
	OfferTransfer func(ctx context.Context, addr, workspace string, tokens int64) bool
	// SendDrawHint asks a home router of the workspace to draw more tokens, because there is
	// demand here. It must not block.
	SendDrawHint func(addr, workspace string)
	// ChooseMirror returns the address of the router that shall mirror the journal: the current
	// mirror if it is still suitable, and never the one to avoid. Empty means that there is
	// none.
	ChooseMirror func(current, avoid string) string
	// SendNote sends a note to a mirror.
	SendNote func(ctx context.Context, addr string, note MirrorNote) (MirrorResponse, error)
	// FetchNote asks a router for the last note of an incarnation of this VM.
	FetchNote func(ctx context.Context, addr, incarnation string) (RecalledNote, error)
	// FetchNoteFrom asks the router that runs as the given incarnation for the last note of this
	// VM.
	FetchNoteFrom func(ctx context.Context, incarnation string) (RecalledNote, error)
	// Clock returns the time of a clock that continues during a suspend.
	Clock func() time.Duration
	// IsStaying reports whether an incarnation of another VM is believed to run and not to be leaving.
	// The tokens of those that stay are found by asking them.
	IsStaying func(incarnation string) bool
	// RouterAddr returns the address of an incarnation that stays, or an empty one if it is not known.
	RouterAddr func(incarnation string) string
	// IsLost reports whether an incarnation of another VM is believed to have ended, or was not heard of
	// for so long that its tokens should be reclaimed if it does not write its journal either.
	IsLost func(incarnation string) bool
	// Reclaimers returns the incarnations of other VMs that may reclaim the holdings of this VM if it is
	// lost.
	Reclaimers func() []string
	// SendReplica sends a replica of this VM's bounds to a reclaimer, or to a later incarnation on its VM. It
	// succeeds only if the responder keeps it.
	SendReplica func(ctx context.Context, reclaimer string, r BoundsReplica) (ReplicaAck, error)
	// RequestFence has a reclaimer, or a later incarnation on its VM, keep no further replica of the bounds of the
	// given incarnation for journal writes up to a sequence number, and returns the replica that it has.
	RequestFence func(ctx context.Context, reclaimer, incarnation string, seq int64) (FenceResponse, error)
	// SendFinalUsage tells a reclaimer what this incarnation has used of its holdings, of which it uses
	// nothing any more.
	SendFinalUsage func(ctx context.Context, reclaimer string, usage FinalUsage) error
	// FetchRecent asks the router that runs as the given incarnation which others it knows to run or to have
	// ended lately.
	FetchRecent func(ctx context.Context, incarnation string) (RecentIncarnations, error)
	// RecentIncarnations returns the incarnations of other VMs that are believed to run, or to
	// have run within the maximum age of a copy of the store. It must not call the Manager.
	RecentIncarnations func() []string
	// GracePeriod is the time after a journal write during which no more than its bounds are
	// spent; 0 means 2 s.
	GracePeriod time.Duration
	// OnEvent is called for each event. It must not block.
	OnEvent func(e Event)

	settlementRequested chan struct{}
	headroomRemoved     atomic.Bool  // no headroom is added to bounds any more
	reopenings          atomic.Int64 // how often this process has opened its journal again
	once                sync.Once
	startedAt           time.Time // when this incarnation started, no earlier than the end of the VM's previous one
	seed                maphash.Seed
	shards              [shardCount]shard
	journal             journal
	eras                eras
	peerNotes           noteStore
	reclaims            reclaims
	coverage            coverage

	latencies peerLatencies
}

// shard holds some of the holdings, to reduce lock contention.
type shard struct {
	mu       sync.Mutex // guards holdings
	holdings map[string]*holding
}

func (m *Manager) init() {
	m.once.Do(func() {
		if m.GracePeriod == 0 {
			m.GracePeriod = defaultGrace
		}
		if m.DrawSize == nil {
			m.DrawSize = demand.SizeByDemand(demand.DefaultHorizon)
		}
		if m.OnEvent == nil {
			m.OnEvent = func(Event) {}
		}
		if m.HomeRouters == nil {
			m.HomeRouters = func(string) ([]string, bool) { return nil, true }
		}
		if m.ChooseMirror == nil {
			m.ChooseMirror = func(string, string) string { return "" }
		}
		if m.SendDrawHint == nil {
			m.SendDrawHint = func(string, string) {}
		}
		if m.IsLost == nil {
			m.IsLost = func(string) bool { return false }
		}
		if m.Reclaimers == nil {
			m.Reclaimers = func() []string { return nil }
		}
		if m.SendReplica == nil {
			m.SendReplica = func(context.Context, string, BoundsReplica) (ReplicaAck, error) { return ReplicaAck{}, errUnknownCause }
		}
		if m.RequestFence == nil {
			m.RequestFence = func(context.Context, string, string, int64) (FenceResponse, error) {
				return FenceResponse{}, errUnknownCause
			}
		}
		if m.SendFinalUsage == nil {
			m.SendFinalUsage = func(context.Context, string, FinalUsage) error { return errUnknownCause }
		}
		if m.FetchRecent == nil {
			m.FetchRecent = func(context.Context, string) (RecentIncarnations, error) {
				return RecentIncarnations{}, errUnknownCause
			}
		}
		if m.RouterAddr == nil {
			m.RouterAddr = func(string) string { return "" }
		}
		if m.IsStaying == nil {
			m.IsStaying = func(string) bool { return false }
		}
		m.startedAt = time.Now()
		m.coverage.since, m.coverage.notedAt = m.startedAt, m.startedAt
		if m.Clock == nil {
			m.Clock = func() time.Duration { return time.Since(m.startedAt) }
		}
		m.seed = maphash.MakeSeed()
		for i := range m.shards {
			m.shards[i].holdings = make(map[string]*holding)
		}
		if m.RecentIncarnations == nil {
			m.RecentIncarnations = func() []string { return nil }
		}
		m.settlementRequested = make(chan struct{}, 1)
		m.eras.checkRequested = make(chan struct{}, 1)
		m.journal.writeRequested = make(chan struct{}, 1)
		m.journal.bounds = effectiveBounds{grace: m.GracePeriod}
		m.journal.noteRequested = make(chan struct{}, 1)
		m.journal.replicaDue = make(chan struct{}, 1)
		m.journal.mirrorsQueried = make(chan struct{})
		m.journal.former = make(map[string]formerIncarnation)
	})
}

// prepaidTotal returns the workspace's prepaid total, which is never negative.
func (m *Manager) prepaidTotal(workspace string) int64 { return max(0, m.PrepaidTotal(workspace)) }

// holding returns the holding of the workspace and creates it if necessary.
func (m *Manager) holding(workspace string) *holding {
	m.init()
	s := &m.shards[maphash.String(m.seed, workspace)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.holdings[workspace]
	if !ok {
		era, _ := m.eras.current()
		h = &holding{workspace: workspace, era: era}
		s.holdings[workspace] = h
	}
	return h
}

// allHoldings returns the holdings in no particular order.
func (m *Manager) allHoldings() []*holding {
	var out []*holding
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		for _, h := range s.holdings {
			out = append(out, h)
		}
		s.mu.Unlock()
	}
	return out
}

// Run opens the journal, maintains it and its mirror, and closes the holdings of former
// incarnations, until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	m.init()
	if err := m.open(ctx); err != nil {
		return err
	}
	var parts sync.WaitGroup
	parts.Go(func() {
		m.queryMirrors(ctx)
		m.closeFormer(ctx)
	})
	parts.Go(func() { m.runMirror(ctx) })
	parts.Go(func() { m.runReplication(ctx) })
	parts.Go(func() { m.runReclaims(ctx) })
	parts.Go(func() { m.runEras(ctx) })
	parts.Go(func() { m.runCoverage(ctx) })
	parts.Go(func() { m.runSettlements(ctx) })
	err := m.runJournal(ctx)
	for errors.Is(err, errReclaimed) {
		if err = m.reopen(ctx, err); err != nil {
			break
		}
		parts.Go(func() { m.closeFormer(ctx) })
		err = m.runJournal(ctx)
	}
	parts.Wait()
	return err
}

// State describes one holding for a state dump. Counts are in tokens, except Waiting, which
// counts reservations.
type State struct {
	Workspace string `json:"workspace"`
	Drawn     int64  `json:"drawn"`
	Spent     int64  `json:"spent"`
	Gifts     int64  `json:"gifts"`
	Waiting   int    `json:"waiting"`
	Allowed   int64  `json:"allowed"`
}

// State returns the state of all holdings.
func (m *Manager) State() []State {
	m.init()
	now := time.Now()
	var out []State
	for _, h := range m.allHoldings() {
		h.mu.Lock()
		out = append(out, State{
			Workspace: h.workspace, Drawn: h.drawn, Spent: h.spent, Gifts: h.received,
			Waiting: len(h.waiting), Allowed: m.journal.usageLimit(h.workspace, h.drawn, now),
		})
		h.mu.Unlock()
	}
	return out
}
