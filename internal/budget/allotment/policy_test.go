package allotment_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rosevalve/internal/budget/allotment"
	"rosevalve/internal/budget/demand"
	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/budget/witness"
	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/standin/platform"
)

var measure = flag.Bool("measure", false, "measure all draw policies in virtual time and print the figures")

const (
	routers       = 8
	budgetTokens  = 2_000_000
	worstCase     = 300 // tokens
	runDuration   = 2 * time.Second
	faultStart    = 10 * time.Second
	faultDuration = 60 * time.Second
	trialDuration = 90 * time.Second
	tableDelay    = 2 * time.Millisecond
	witnessDelay  = time.Millisecond
	fixedDraw     = 20_000 // tokens
)

// policy is a way to size draws, with or without recalls of free tokens from peers.
type policy struct {
	name   string
	size   func(demand.DrawInput) int64
	recall bool
}

var policies = []policy{
	{name: "fixed", size: demand.SizeFixed(fixedDraw)},
	{name: "demand", size: demand.SizeByDemand(time.Minute)},
	{name: "demand and peers", size: demand.SizeByDemand(time.Minute), recall: true},
}

// trial is one run of a small fleet in virtual time. The reference is a single ledger,
// without delay or faults, that serves the same requests.
type trial struct {
	policy        policy
	fault         string // "healthy", "table down" or "router cut off"
	initialTokens int64  // tokens of each budget at the start
	rate          int    // requests per second for each budget
	budgets       int

	store    *platform.Store
	managers [routers]*allotment.Manager
	books    [routers]*witness.Books

	mu              sync.Mutex // guards the fields below
	faultActive     bool
	commits         int
	usedTokens      map[ledger.BudgetID]int64
	served          int
	refused         int
	referenceTokens map[ledger.BudgetID]int64 // billed and reserved in the reference
	referenceServed int
}

func (c *trial) tableUnreachable(router int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faultActive && (c.fault == "table down" || c.fault == "router cut off" && router == 0)
}

func (c *trial) partitioned(a, b int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faultActive && c.fault == "router cut off" && (a == 0 || b == 0)
}

func (c *trial) newLedger(router int) *ledger.Ledger {
	return &ledger.Ledger{
		Holder: fmt.Sprint("r", router),
		Commit: func(_ context.Context, commit table.Commit) (uint64, error) {
			time.Sleep(tableDelay)
			if c.tableUnreachable(router) {
				return 0, table.ErrUnavailable
			}
			c.mu.Lock()
			c.commits++
			c.mu.Unlock()
			return c.store.Commit(commit)
		},
		Get: func(_ context.Context, keys ...string) ([]table.Row, error) {
			time.Sleep(tableDelay)
			if c.tableUnreachable(router) {
				return nil, table.ErrUnavailable
			}
			return c.store.Get(keys), nil
		},
	}
}

func (c *trial) start(ctx context.Context, router int) {
	c.books[router] = &witness.Books{SelfID: func() string { return fmt.Sprint("r", router) }}
	m := &allotment.Manager{
		Ledger:         c.newLedger(router),
		DrawSize:       c.policy.size,
		SettleInterval: time.Second,
		PickWitness: func([]string) (allotment.Witness, bool) {
			return allotment.Witness{ID: fmt.Sprint("r", (router+1)%routers)}, true
		},
		AppendToWitness: func(_ context.Context, _ allotment.Witness, in inner.WitnessAppend) (inner.WitnessAppendAck, error) {
			time.Sleep(witnessDelay)
			if c.partitioned(router, (router+1)%routers) {
				return inner.WitnessAppendAck{}, context.DeadlineExceeded
			}
			return c.books[(router+1)%routers].Append(in)
		},
	}
	if c.policy.recall {
		m.RecallFromPeers = func(ctx context.Context, id ledger.BudgetID) int64 { return c.recall(ctx, router, id) }
	}
	c.managers[router] = m
	go func() { _ = m.Run(ctx) }()
}

func (c *trial) recall(ctx context.Context, router int, id ledger.BudgetID) int64 {
	var sum int64
	for other, m := range c.managers {
		if other == router || c.partitioned(router, other) {
			continue
		}
		n, err := m.ReturnFree(ctx, id)
		if err == nil {
			sum += n
		}
	}
	return sum
}

// serveReference serves a request in the reference.
func (c *trial) serveReference(id ledger.BudgetID, usedTokens int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.initialTokens-c.referenceTokens[id] < worstCase {
		return
	}
	c.referenceServed++
	c.referenceTokens[id] += worstCase
	time.AfterFunc(runDuration, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.referenceTokens[id] -= worstCase - usedTokens
	})
}

// request sends one request to the router and to the reference.
func (c *trial) request(m *allotment.Manager, id ledger.BudgetID, key string, usedTokens int64) {
	c.serveReference(id, usedTokens)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := m.Reserve(ctx, id, worstCase)
	if err == nil {
		err = r.RecordAttempt(ctx, allotment.Attempt{RunID: key, RequestKey: key})
		if err != nil {
			r.Release()
		}
	}
	c.mu.Lock()
	if err != nil {
		c.refused++
		c.mu.Unlock()
		return
	}
	c.served++
	c.mu.Unlock()
	time.Sleep(runDuration)
	r.Bill(ledger.BillRow{RequestKey: key, CompletionTokens: usedTokens})
	c.mu.Lock()
	c.usedTokens[id] += usedTokens
	c.mu.Unlock()
}

// run executes the trial and returns the largest number of tokens by which a budget was
// overspent.
func (c *trial) run(t *testing.T) int64 {
	c.store = platform.NewStore()
	c.usedTokens, c.referenceTokens = make(map[ledger.BudgetID]int64), make(map[ledger.BudgetID]int64)
	ctx, cancel := context.WithCancel(context.Background())
	for i := range routers {
		c.start(ctx, i)
	}
	var ids []ledger.BudgetID
	for i := range c.budgets {
		id := ledger.BudgetID{Workspace: "w", Name: fmt.Sprint("b", i)}
		assert.NilError(t, c.managers[0].Ledger.Create(ctx, id, c.initialTokens, id.Name))
		ids = append(ids, id)
	}
	c.commits = 0
	rng := rand.New(rand.NewPCG(1, 2))
	var wait sync.WaitGroup
	for n := range int(trialDuration/time.Second) * c.rate {
		at := time.Duration(n) * time.Second / time.Duration(c.rate)
		c.mu.Lock()
		c.faultActive = c.fault != "healthy" && at >= faultStart && at < faultStart+faultDuration
		c.mu.Unlock()
		for i, id := range ids {
			m, usedTokens := c.managers[rng.IntN(routers)], 60+rng.Int64N(90)
			wait.Go(func() { c.request(m, id, fmt.Sprint(i, "-", n), usedTokens) })
		}
		time.Sleep(time.Second / time.Duration(c.rate))
	}
	wait.Wait()
	cancel()
	synctest.Wait()
	var overspend int64
	for _, id := range ids {
		overspend = max(overspend, c.usedTokens[id]-c.initialTokens)
	}
	return overspend
}

// TestDrawPolicies checks that no policy overspends; with -measure it prints the
// share of false refusals of each.
func TestDrawPolicies(t *testing.T) {
	for _, fault := range []string{"healthy", "table down", "router cut off"} {
		for _, percent := range []int64{50, 5, 1} {
			for _, p := range policies {
				if !*measure && percent != 1 {
					continue
				}
				synctest.Test(t, func(t *testing.T) {
					c := &trial{policy: p, fault: fault, initialTokens: budgetTokens * percent / 100, rate: 20, budgets: 1}
					overspend := c.run(t)
					assert.Assert(t, overspend <= 0)
					falseRefusals := max(c.referenceServed-c.served, 0)
					t.Logf("%-14s %2d%% left, %-16s: overspend %d, served %d of %d possible, false refusals %.2f%%, %.1f commits/s",
						fault, percent, p.name, max(overspend, 0), c.served, c.referenceServed,
						100*float64(falseRefusals)/float64(c.referenceServed), float64(c.commits)/trialDuration.Seconds())
				})
			}
		}
	}
}

// TestTableWrites checks the limit on table writes at 200 requests per second on 8 routers.
func TestTableWrites(t *testing.T) {
	const maxCommitsPerSecond = 100
	synctest.Test(t, func(t *testing.T) {
		c := &trial{policy: policies[2], fault: "healthy", initialTokens: 10 * budgetTokens, rate: 20, budgets: 10}
		assert.Assert(t, c.run(t) <= 0)
		perSecond := float64(c.commits) / trialDuration.Seconds()
		t.Logf("%.1f commits/s at %d requests/s", perSecond, c.rate*c.budgets)
		assert.Assert(t, perSecond < maxCommitsPerSecond)
	})
}
