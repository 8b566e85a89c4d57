package reclaim

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/budget/allotment"
	"rosevalve/internal/budget/demand"
	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/budget/witness"
	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/standin/platform"
)

const (
	slots                = 3    // router addresses; each has one current incarnation
	defaultInitialTokens = 1000 // tokens
	keyCount             = 5    // distinct idempotency keys
	usageSteps           = 12   // a request uses a multiple of 1/usageSteps of its worst case
	targetAddr           = "engine"
)

var (
	budgets        = []ledger.BudgetID{{Workspace: "w", Name: "b0"}, {Workspace: "w", Name: "b1"}}
	errDead        = errors.New("router is dead")
	errPartitioned = errors.New("routers cannot reach each other")
)

// mutation switches safety mechanisms off at the interfaces of the components, and
// sets up the budgets so that the effect shows.
type mutation struct {
	dropConditions     string // prefix of the keys whose conditions are dropped from commits
	skipAppend         bool   // requests start without the acknowledgement of the witness
	skipSeal           bool   // witness records come from books that were not sealed
	skipWitnessRecord  bool   // holdings are closed because the holder is suspected, like a lease that times out
	unknownAsRefused   bool   // a commit with an unknown outcome counts as refused
	initialTokens      int64  // tokens in each budget; zero selects defaultInitialTokens
	singleBudget       bool   // all requests use the first budget
	unknownRunAsNotRun bool   // a run that the target has no record of counts as not run, although its holder may be paused
}

// simulation is a fleet of routers with real ledgers, managers, books and reclaimers
// that share a simulated table and a simulated target. Faults are injected into the
// routers, the table and the network.
type simulation struct {
	mutation mutation
	store    *platform.Store

	mu           sync.Mutex // guards the fields below and those of the nodes
	nodes        [slots]*node
	incarnations []*node         // all, including dead ones
	cutLinks     map[[2]int]bool // by pair of slots
	tableDown    bool
	delayed      []table.Commit        // answered with ErrUnknownOutcome and not applied yet
	runs         map[string]*engineRun // by attempt ID
	runsStarted  int
	requestCount int
	granted      map[ledger.BudgetID]int64 // tokens
}

// node is one router incarnation.
type node struct {
	sim  *simulation
	slot int
	id   string

	ledger    *ledger.Ledger
	manager   *allotment.Manager
	books     *witness.Books
	reclaimer *Reclaimer

	dead              bool
	resumed           chan struct{} // closed when the frozen router resumes; nil while it runs
	cutFromTable      bool
	loseCommitAnswers int             // number of commits whose answers will be lost
	delayCommits      int             // number of commits that will be delayed
	loseAcks          int             // number of appends whose acknowledgements will be lost
	witnessless       bool            // pickWitness finds no witness
	messageDelay      time.Duration   // one way
	suspected         map[string]bool // by incarnation
}

// engineRun is the record that the simulated target keeps of one run.
type engineRun struct {
	node   *node
	budget ledger.BudgetID
	key    string
	max    int64
	used   int64
	ended  bool
}

func newSimulation(m mutation) *simulation {
	sim := &simulation{mutation: m, store: platform.NewStore(), cutLinks: make(map[[2]int]bool), runs: make(map[string]*engineRun), granted: make(map[ledger.BudgetID]int64)}
	for slot := range slots {
		sim.startNode(slot)
	}
	for _, id := range budgets {
		sim.topUp(id, cmp.Or(m.initialTokens, defaultInitialTokens))
	}
	return sim
}

// budgetOf returns the budget of a request with the argument i.
func (sim *simulation) budgetOf(i int) ledger.BudgetID {
	if sim.mutation.singleBudget {
		return budgets[0]
	}
	return budgets[i%len(budgets)]
}

// startNode starts a new incarnation at the address of the slot.
func (sim *simulation) startNode(slot int) {
	n := &node{sim: sim, slot: slot, id: fmt.Sprintf("r%d#%d", slot, len(sim.incarnations)), suspected: make(map[string]bool)}
	n.ledger = &ledger.Ledger{Holder: n.id, Commit: n.commit, Get: n.get, Scan: n.scan}
	n.books = &witness.Books{SelfID: func() string { return n.id }}
	n.manager = &allotment.Manager{
		Ledger:          n.ledger,
		PickWitness:     n.pickWitness,
		AppendToWitness: n.append,
		RecallFromPeers: n.recall,
		DrawSize:        demand.SizeByDemand(time.Minute),
		IdleTimeout:     5 * time.Second,
	}
	n.reclaimer = &Reclaimer{
		Ledger:        n.ledger,
		IsSuspected:   n.isSuspected,
		MayCancelRuns: n.isSuspected,
		HolderGone:    func(id string) bool { return sim.mutation.unknownRunAsNotRun || sim.isDead(id) },
		TargetGone:    func(string) bool { return false },
		Seal:          n.seal,
		Cancel:        n.cancel,
	}
	sim.nodes[slot] = n
	sim.incarnations = append(sim.incarnations, n)
}

func (sim *simulation) topUp(budget ledger.BudgetID, tokens int64) {
	sim.granted[budget] += tokens
	l := &ledger.Ledger{
		Commit: func(_ context.Context, c table.Commit) (uint64, error) { return sim.store.Commit(c) },
		Get:    func(_ context.Context, keys ...string) ([]table.Row, error) { return sim.store.Get(keys), nil },
	}
	id := fmt.Sprintf("%s-%d", budget.Name, sim.granted[budget])
	grantTokens := l.TopUp
	if sim.granted[budget] == tokens {
		grantTokens = l.Create
	}
	if err := grantTokens(context.Background(), budget, tokens, id); err != nil {
		panic(err)
	}
}

func (sim *simulation) isDead(id string) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	i := slices.IndexFunc(sim.incarnations, func(n *node) bool { return n.id == id })
	return i >= 0 && sim.incarnations[i].dead
}

// delayMessage sleeps for the one-way delay of a message and then calls awaitRunning.
func (n *node) delayMessage() error {
	n.sim.mu.Lock()
	delay := n.messageDelay
	n.sim.mu.Unlock()
	time.Sleep(delay)
	return n.awaitRunning()
}

// awaitRunning blocks while the router is frozen and fails once it is dead.
func (n *node) awaitRunning() error {
	for {
		n.sim.mu.Lock()
		dead, resumed := n.dead, n.resumed
		n.sim.mu.Unlock()
		if dead {
			return errDead
		}
		if resumed == nil {
			return nil
		}
		<-resumed
	}
}

func (n *node) commit(_ context.Context, c table.Commit) (uint64, error) {
	if err := n.delayMessage(); err != nil {
		return 0, err
	}
	version, err := n.sim.apply(n, c)
	if n.sim.mutation.unknownAsRefused && errors.Is(err, table.ErrUnknownOutcome) {
		err = table.ErrUnavailable
	}
	if e := n.delayMessage(); e != nil {
		return 0, fmt.Errorf("%w: %w", table.ErrUnknownOutcome, e)
	}
	return version, err
}

// apply commits to the store, with the faults injected into the router and the table.
func (sim *simulation) apply(n *node, c table.Commit) (uint64, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.tableDown || n.cutFromTable {
		return 0, table.ErrUnavailable
	}
	c = sim.dropMutatedConditions(c)
	if n.delayCommits > 0 {
		n.delayCommits--
		sim.delayed = append(sim.delayed, c)
		return 0, table.ErrUnknownOutcome
	}
	version, err := sim.store.Commit(c)
	if n.loseCommitAnswers > 0 {
		n.loseCommitAnswers--
		return 0, table.ErrUnknownOutcome
	}
	return version, err
}

// dropMutatedConditions removes the conditions that the mutation switches off.
func (sim *simulation) dropMutatedConditions(c table.Commit) table.Commit {
	if sim.mutation.dropConditions == "" {
		return c
	}
	c.Conditions = slices.DeleteFunc(slices.Clone(c.Conditions), func(cond table.Condition) bool {
		return strings.HasPrefix(cond.Key, sim.mutation.dropConditions)
	})
	return c
}

// contactTable fails if the router is dead or cannot reach the table.
func (n *node) contactTable() error {
	if err := n.awaitRunning(); err != nil {
		return err
	}
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	if n.sim.tableDown || n.cutFromTable {
		return table.ErrUnavailable
	}
	return nil
}

func (n *node) get(_ context.Context, keys ...string) ([]table.Row, error) {
	if err := n.contactTable(); err != nil {
		return nil, err
	}
	return n.sim.store.Get(keys), n.awaitRunning()
}

func (n *node) scan(_ context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if err := n.contactTable(); err != nil {
		return nil, err
	}
	return n.sim.store.Scan(prefix, after, limit), n.awaitRunning()
}

func (n *node) pickWitness(excluded []string) (allotment.Witness, bool) {
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	for i := 1; i < slots && !n.witnessless; i++ {
		other := n.sim.nodes[(n.slot+i)%slots]
		if !slices.Contains(excluded, other.id) {
			return allotment.Witness{ID: other.id, Addr: fmt.Sprint(other.slot)}, true
		}
	}
	return allotment.Witness{}, false
}

// reachPeer delivers a message to the incarnation and returns it. If the peer is
// frozen, reachPeer waits until ctx ends.
func (n *node) reachPeer(ctx context.Context, id string) (*node, error) {
	if err := n.delayMessage(); err != nil {
		return nil, err
	}
	n.sim.mu.Lock()
	i := slices.IndexFunc(n.sim.incarnations, func(o *node) bool { return o.id == id })
	other := n.sim.incarnations[i]
	cut := n.sim.cutLinks[pair(n.slot, other.slot)] || other.dead
	frozen := other.resumed != nil
	n.sim.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if cut {
		return nil, errPartitioned
	}
	return other, nil
}

func (n *node) append(ctx context.Context, to allotment.Witness, in inner.WitnessAppend) (inner.WitnessAppendAck, error) {
	if n.sim.mutation.skipAppend {
		return inner.WitnessAppendAck{}, nil
	}
	other, err := n.reachPeer(ctx, to.ID)
	if err != nil {
		return inner.WitnessAppendAck{}, err
	}
	ack, err := other.books.Append(in)
	if n.loseAck() {
		return inner.WitnessAppendAck{}, errPartitioned
	}
	return ack, errors.CombineErrors(err, n.delayMessage())
}

// loseAck reports whether the current acknowledgement is lost, and counts it.
func (n *node) loseAck() bool {
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	n.loseAcks--
	return n.loseAcks >= 0
}

func (n *node) recall(ctx context.Context, id ledger.BudgetID) int64 {
	var sum int64
	for _, other := range n.sim.currentNodes() {
		if _, err := n.reachPeer(ctx, other.id); other == n || err != nil {
			continue
		}
		returned, err := other.manager.ReturnFree(ctx, id)
		if err == nil {
			sum += returned
		}
	}
	return sum
}

func (n *node) seal(ctx context.Context, term ledger.Term, in inner.WitnessSeal) (inner.WitnessEvidence, error) {
	if n.sim.mutation.skipWitnessRecord {
		return inner.WitnessEvidence{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	other, err := n.reachPeer(ctx, term.Witness)
	if err != nil {
		return inner.WitnessEvidence{}, err
	}
	if n.sim.mutation.skipSeal {
		copied := in
		copied.Term += 1 << 32
		return other.books.Seal(copied)
	}
	return other.books.Seal(in)
}

func (n *node) isSuspected(id string) bool {
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	return n.suspected[id]
}

func (sim *simulation) currentNodes() []*node {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return slices.Clone(sim.nodes[:])
}

// pair returns the key of the link between two slots.
func pair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

// cancel stops a run at the simulated target and returns its usage. A run that is
// stopped early uses half of its tokens.
func (n *node) cancel(_, attempt string) (chat.Usage, error) {
	if err := n.awaitRunning(); err != nil {
		return chat.Usage{}, err
	}
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	run, ok := n.sim.runs[attempt]
	if !ok {
		return chat.Usage{}, ErrUnknownRun
	}
	if !run.ended {
		run.ended = true
		run.used = (run.used + 1) / 2
	}
	return chat.Usage{CompletionTokens: run.used}, nil
}

// serve processes one request from its reservation to its bill. A declined request
// is recorded at the witness but not sent to the target.
func (n *node) serve(budget ledger.BudgetID, key string, worst, used int64, duration time.Duration, declined bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := n.manager.Reserve(ctx, budget, worst)
	if err != nil {
		return
	}
	n.sim.mu.Lock()
	n.sim.requestCount++
	id := fmt.Sprintf("%s/%d", n.id, n.sim.requestCount)
	n.sim.mu.Unlock()
	attempt := allotment.Attempt{RunID: id, RequestKey: key, Target: targetAddr, AttemptID: id}
	if err := r.RecordAttempt(ctx, attempt); err != nil || declined {
		r.Release()
		return
	}
	if n.delayMessage() != nil {
		return
	}
	n.sim.startRun(&engineRun{node: n, budget: budget, key: key, max: worst, used: used}, id, duration)
	time.Sleep(duration)
	if n.awaitRunning() != nil {
		return
	}
	usage, err := n.cancel(targetAddr, id)
	if err != nil {
		return
	}
	r.Bill(ledger.BillRow{RequestKey: key, RequestID: id, Holder: n.id, CompletionTokens: usage.CompletionTokens, BilledAt: time.Now()})
}

// startRun starts a run at the simulated target. It ends after the duration even if
// its router is dead by then.
func (sim *simulation) startRun(run *engineRun, id string, duration time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.runs[id] = run
	sim.runsStarted++
	time.AfterFunc(duration, func() {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		run.ended = true
	})
}
