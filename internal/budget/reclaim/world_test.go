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
	slots      = 3
	grant      = 1000 // tokens
	keyCount   = 5
	shares     = 12 // of a request's worst case that it may use
	targetAddr = "engine"
)

var (
	budgets = []ledger.BudgetID{{Workspace: "w", Name: "b0"}, {Workspace: "w", Name: "b1"}}
	errDead = errors.New("router is dead")
	errCut  = errors.New("routers are cut from each other")
)

// broken switches mechanisms off through the seams.
type broken struct {
	dropConditions string // prefix of the keys whose conditions are left out
	skipAppend     bool   // witnesses are not asked
	skipSeal       bool   // evidence is read from books that are not sealed
	skipEvidence   bool   // holdings are closed by suspicion alone, as a lease by timeout
	denyUnknown    bool   // a commit whose outcome is unknown counts as refused
	granted        int64  // tokens at the beginning, if not the usual ones
	oneBudget      bool   // requests use only the first budget
	trustUnknown   bool   // a run that a target does not know counts as not run at once
}

// world is a fleet of routers with real ledgers, purses, books and reclaimers
// around one table and one engine, all of which fail on demand.
type world struct {
	broken broken
	store  *platform.Store

	mu        sync.Mutex // guards the fields below and those of the nodes
	nodes     [slots]*node
	all       []*node
	cuts      map[[2]int]bool
	tableDown bool
	delayed   []table.Commit
	runs      map[string]*engineRun
	started   int
	requests  int
	granted   map[ledger.BudgetID]int64
}

// node is one router incarnation.
type node struct {
	w    *world
	slot int
	id   string

	ledger    *ledger.Ledger
	purse     *allotment.Purse
	books     *witness.Books
	reclaimer *Reclaimer

	dead      bool
	thaw      chan struct{} // closed when a frozen router goes on; nil while it runs
	tableCut  bool
	lose      int // commits whose answers get lost
	delay     int // commits that take effect later
	loseAcks  int // appends whose answers get lost
	alone     bool
	slow      time.Duration // of each message, there and back
	suspected map[string]bool
}

// engineRun is what the engine knows of one run.
type engineRun struct {
	node *node
	id   ledger.BudgetID
	key  string
	max  int64
	used int64
	over bool
}

func newWorld(b broken) *world {
	w := &world{broken: b, store: platform.NewStore(), cuts: make(map[[2]int]bool), runs: make(map[string]*engineRun), granted: make(map[ledger.BudgetID]int64)}
	for slot := range slots {
		w.start(slot)
	}
	for _, id := range budgets {
		w.topUp(id, cmp.Or(b.granted, grant))
	}
	return w
}

// budgetOf returns the budget that a request with the number uses.
func (w *world) budgetOf(i int) ledger.BudgetID {
	if w.broken.oneBudget {
		return budgets[0]
	}
	return budgets[i%len(budgets)]
}

// start puts a new incarnation at the slot's address.
func (w *world) start(slot int) {
	n := &node{w: w, slot: slot, id: fmt.Sprintf("r%d#%d", slot, len(w.all)), suspected: make(map[string]bool)}
	n.ledger = &ledger.Ledger{Holder: n.id, Commit: n.commit, Get: n.get, Scan: n.scan}
	n.books = &witness.Books{Self: func() string { return n.id }}
	n.purse = &allotment.Purse{
		Ledger:      n.ledger,
		PickWitness: n.pickWitness,
		Append:      n.append,
		Recall:      n.recall,
		Size:        demand.SizeByDemand(time.Minute),
		IdleAfter:   5 * time.Second,
	}
	n.reclaimer = &Reclaimer{
		Ledger:     n.ledger,
		Suspected:  n.suspects,
		Abandoned:  n.suspects,
		Departed:   func(id string) bool { return w.broken.trustUnknown || w.isDead(id) },
		TargetGone: func(string) bool { return false },
		Seal:       n.seal,
		Cancel:     n.cancel,
	}
	w.nodes[slot] = n
	w.all = append(w.all, n)
}

func (w *world) topUp(budget ledger.BudgetID, tokens int64) {
	w.granted[budget] += tokens
	l := &ledger.Ledger{
		Commit: func(_ context.Context, c table.Commit) (uint64, error) { return w.store.Commit(c) },
		Get:    func(_ context.Context, keys ...string) ([]table.Row, error) { return w.store.Get(keys), nil },
	}
	id := fmt.Sprintf("%s-%d", budget.Name, w.granted[budget])
	grantTokens := l.TopUp
	if w.granted[budget] == tokens {
		grantTokens = l.Create
	}
	if err := grantTokens(context.Background(), budget, tokens, id); err != nil {
		panic(err)
	}
}

func (w *world) isDead(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := slices.IndexFunc(w.all, func(n *node) bool { return n.id == id })
	return i >= 0 && w.all[i].dead
}

// travel lets a message take its time, and fails once the router is dead.
func (n *node) travel() error {
	n.w.mu.Lock()
	slow := n.slow
	n.w.mu.Unlock()
	time.Sleep(slow)
	return n.pass()
}

// pass blocks while the router is frozen and fails once it is dead.
func (n *node) pass() error {
	for {
		n.w.mu.Lock()
		dead, thaw := n.dead, n.thaw
		n.w.mu.Unlock()
		if dead {
			return errDead
		}
		if thaw == nil {
			return nil
		}
		<-thaw
	}
}

func (n *node) commit(_ context.Context, c table.Commit) (uint64, error) {
	if err := n.travel(); err != nil {
		return 0, err
	}
	version, err := n.w.apply(n, c)
	if n.w.broken.denyUnknown && errors.Is(err, table.ErrUnknownOutcome) {
		err = table.ErrUnavailable
	}
	if e := n.travel(); e != nil {
		return 0, fmt.Errorf("%w: %w", table.ErrUnknownOutcome, e)
	}
	return version, err
}

func (w *world) apply(n *node, c table.Commit) (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tableDown || n.tableCut {
		return 0, table.ErrUnavailable
	}
	c = w.weaken(c)
	if n.delay > 0 {
		n.delay--
		w.delayed = append(w.delayed, c)
		return 0, table.ErrUnknownOutcome
	}
	version, err := w.store.Commit(c)
	if n.lose > 0 {
		n.lose--
		return 0, table.ErrUnknownOutcome
	}
	return version, err
}

// weaken leaves out the conditions of a mechanism that is switched off.
func (w *world) weaken(c table.Commit) table.Commit {
	if w.broken.dropConditions == "" {
		return c
	}
	c.Conditions = slices.DeleteFunc(slices.Clone(c.Conditions), func(cond table.Condition) bool {
		return strings.HasPrefix(cond.Key, w.broken.dropConditions)
	})
	return c
}

func (n *node) reach() error {
	if err := n.pass(); err != nil {
		return err
	}
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	if n.w.tableDown || n.tableCut {
		return table.ErrUnavailable
	}
	return nil
}

func (n *node) get(_ context.Context, keys ...string) ([]table.Row, error) {
	if err := n.reach(); err != nil {
		return nil, err
	}
	return n.w.store.Get(keys), n.pass()
}

func (n *node) scan(_ context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if err := n.reach(); err != nil {
		return nil, err
	}
	return n.w.store.Scan(prefix, after, limit), n.pass()
}

func (n *node) pickWitness(excluded []string) (allotment.Witness, bool) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	for i := 1; i < slots && !n.alone; i++ {
		other := n.w.nodes[(n.slot+i)%slots]
		if !slices.Contains(excluded, other.id) {
			return allotment.Witness{ID: other.id, Addr: fmt.Sprint(other.slot)}, true
		}
	}
	return allotment.Witness{}, false
}

// peer returns the router with the id, if a message gets there before ctx ends.
func (n *node) peer(ctx context.Context, id string) (*node, error) {
	if err := n.travel(); err != nil {
		return nil, err
	}
	n.w.mu.Lock()
	i := slices.IndexFunc(n.w.all, func(o *node) bool { return o.id == id })
	other := n.w.all[i]
	cut := n.w.cuts[pair(n.slot, other.slot)] || other.dead
	frozen := other.thaw != nil
	n.w.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if cut {
		return nil, errCut
	}
	return other, nil
}

func (n *node) append(ctx context.Context, to allotment.Witness, in inner.WitnessAppend) (inner.WitnessAppendAck, error) {
	if n.w.broken.skipAppend {
		return inner.WitnessAppendAck{}, nil
	}
	other, err := n.peer(ctx, to.ID)
	if err != nil {
		return inner.WitnessAppendAck{}, err
	}
	ack, err := other.books.Append(in)
	if n.lost() {
		return inner.WitnessAppendAck{}, errCut
	}
	return ack, errors.CombineErrors(err, n.travel())
}

func (n *node) lost() bool {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	n.loseAcks--
	return n.loseAcks >= 0
}

func (n *node) recall(ctx context.Context, id ledger.BudgetID) int64 {
	var sum int64
	for _, other := range n.w.living() {
		if _, err := n.peer(ctx, other.id); other == n || err != nil {
			continue
		}
		returned, err := other.purse.ReturnFree(ctx, id)
		if err == nil {
			sum += returned
		}
	}
	return sum
}

func (n *node) seal(ctx context.Context, term ledger.Term, in inner.WitnessSeal) (inner.WitnessEvidence, error) {
	if n.w.broken.skipEvidence {
		return inner.WitnessEvidence{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	other, err := n.peer(ctx, term.Witness)
	if err != nil {
		return inner.WitnessEvidence{}, err
	}
	if n.w.broken.skipSeal {
		copied := in
		copied.Term += 1 << 32
		return other.books.Seal(copied)
	}
	return other.books.Seal(in)
}

func (n *node) suspects(id string) bool {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return n.suspected[id]
}

func (w *world) living() []*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.nodes[:])
}

func pair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

// cancel stops a run at the engine and returns what it used.
func (n *node) cancel(_, attempt string) (chat.Usage, error) {
	if err := n.pass(); err != nil {
		return chat.Usage{}, err
	}
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	run, ok := n.w.runs[attempt]
	if !ok {
		return chat.Usage{}, ErrNoRun
	}
	if !run.over {
		run.over = true
		run.used = (run.used + 1) / 2
	}
	return chat.Usage{CompletionTokens: run.used}, nil
}

// serve carries one request from its reservation to its bill.
func (n *node) serve(budget ledger.BudgetID, key string, worst, used int64, lasts time.Duration, declined bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := n.purse.Reserve(ctx, budget, worst)
	if err != nil {
		return
	}
	n.w.mu.Lock()
	n.w.requests++
	id := fmt.Sprintf("%s/%d", n.id, n.w.requests)
	n.w.mu.Unlock()
	attempt := allotment.Attempt{RunID: id, RequestKey: key, Target: targetAddr, ID: id}
	if err := r.Announce(ctx, attempt); err != nil || declined {
		r.Release()
		return
	}
	if n.travel() != nil {
		return
	}
	n.w.begin(&engineRun{node: n, id: budget, key: key, max: worst, used: used}, id, lasts)
	time.Sleep(lasts)
	if n.pass() != nil {
		return
	}
	usage, err := n.cancel(targetAddr, id)
	if err != nil {
		return
	}
	r.Bill(ledger.BillRow{RequestKey: key, RequestID: id, Holder: n.id, CompletionTokens: usage.CompletionTokens, At: time.Now()})
}

// begin runs a request at the engine, which ends it whether or not its router lives.
func (w *world) begin(run *engineRun, id string, lasts time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id] = run
	w.started++
	time.AfterFunc(lasts, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		run.over = true
	})
}
