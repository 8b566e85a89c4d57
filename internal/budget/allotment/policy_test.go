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
	routers      = 8
	budgetTokens = 2_000_000
	worstCase    = 300 // tokens
	runTime      = 2 * time.Second
	faultAt      = 10 * time.Second
	faultLasts   = 60 * time.Second
	lasts        = 90 * time.Second
	tableDelay   = 2 * time.Millisecond
	peerDelay    = time.Millisecond
	fixedDraw    = 20_000 // tokens
)

// policy is a way to size draws.
type policy struct {
	name   string
	size   func(demand.Need) int64
	recall bool
}

var policies = []policy{
	{name: "fixed", size: demand.SizeFixed(fixedDraw)},
	{name: "demand", size: demand.SizeByDemand(time.Minute)},
	{name: "demand and peers", size: demand.SizeByDemand(time.Minute), recall: true},
}

// trial is one run of a small fleet in virtual time, beside a ledger that knows all.
type trial struct {
	policy  policy
	fault   string // healthy, table down or router cut off
	left    int64  // tokens at the beginning, of each budget
	rate    int    // requests a second for each budget
	budgets int

	store  *platform.Store
	purses [routers]*allotment.Purse
	books  [routers]*witness.Books

	mu          sync.Mutex // guards the fields below
	faulty      bool
	commits     int
	used        map[ledger.BudgetID]int64
	served      int
	refused     int
	ideal       map[ledger.BudgetID]int64 // billed and reserved by a ledger that knows all
	idealServed int
}

func (c *trial) cut(router int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faulty && (c.fault == "table down" || c.fault == "router cut off" && router == 0)
}

func (c *trial) apart(a, b int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faulty && c.fault == "router cut off" && (a == 0 || b == 0)
}

func (c *trial) ledgerOf(router int) *ledger.Ledger {
	return &ledger.Ledger{
		Holder: fmt.Sprint("r", router),
		Commit: func(_ context.Context, commit table.Commit) (uint64, error) {
			time.Sleep(tableDelay)
			if c.cut(router) {
				return 0, table.ErrUnavailable
			}
			c.mu.Lock()
			c.commits++
			c.mu.Unlock()
			return c.store.Commit(commit)
		},
		Get: func(_ context.Context, keys ...string) ([]table.Row, error) {
			time.Sleep(tableDelay)
			if c.cut(router) {
				return nil, table.ErrUnavailable
			}
			return c.store.Get(keys), nil
		},
	}
}

func (c *trial) start(ctx context.Context, router int) {
	c.books[router] = &witness.Books{Self: func() string { return fmt.Sprint("r", router) }}
	p := &allotment.Purse{
		Ledger:         c.ledgerOf(router),
		Size:           c.policy.size,
		SettleInterval: time.Second,
		PickWitness: func([]string) (allotment.Witness, bool) {
			return allotment.Witness{ID: fmt.Sprint("r", (router+1)%routers)}, true
		},
		Append: func(_ context.Context, _ allotment.Witness, in inner.WitnessAppend) (inner.WitnessAppendAck, error) {
			time.Sleep(peerDelay)
			if c.apart(router, (router+1)%routers) {
				return inner.WitnessAppendAck{}, context.DeadlineExceeded
			}
			return c.books[(router+1)%routers].Append(in)
		},
	}
	if c.policy.recall {
		p.Recall = func(ctx context.Context, id ledger.BudgetID) int64 { return c.recall(ctx, router, id) }
	}
	c.purses[router] = p
	go func() { _ = p.Run(ctx) }()
}

func (c *trial) recall(ctx context.Context, router int, id ledger.BudgetID) int64 {
	var sum int64
	for other, p := range c.purses {
		if other == router || c.apart(router, other) {
			continue
		}
		n, err := p.ReturnFree(ctx, id)
		if err == nil {
			sum += n
		}
	}
	return sum
}

// serveIdeally serves a request as one ledger that knows all would.
func (c *trial) serveIdeally(id ledger.BudgetID, used int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left-c.ideal[id] < worstCase {
		return
	}
	c.idealServed++
	c.ideal[id] += worstCase
	time.AfterFunc(runTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ideal[id] -= worstCase - used
	})
}

// request serves one request.
func (c *trial) request(p *allotment.Purse, id ledger.BudgetID, key string, used int64) {
	c.serveIdeally(id, used)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := p.Reserve(ctx, id, worstCase)
	if err == nil {
		err = r.Announce(ctx, allotment.Attempt{RunID: key, RequestKey: key})
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
	time.Sleep(runTime)
	r.Bill(ledger.BillRow{RequestKey: key, CompletionTokens: used})
	c.mu.Lock()
	c.used[id] += used
	c.mu.Unlock()
}

// run plays the trial and returns the tokens billed over what was granted.
func (c *trial) run(t *testing.T) int64 {
	c.store = platform.NewStore()
	c.used, c.ideal = make(map[ledger.BudgetID]int64), make(map[ledger.BudgetID]int64)
	ctx, cancel := context.WithCancel(context.Background())
	for i := range routers {
		c.start(ctx, i)
	}
	var ids []ledger.BudgetID
	for i := range c.budgets {
		id := ledger.BudgetID{Workspace: "w", Name: fmt.Sprint("b", i)}
		assert.NilError(t, c.purses[0].Ledger.Create(ctx, id, c.left, id.Name))
		ids = append(ids, id)
	}
	c.commits = 0
	random := rand.New(rand.NewPCG(1, 2))
	var wait sync.WaitGroup
	for n := range int(lasts/time.Second) * c.rate {
		at := time.Duration(n) * time.Second / time.Duration(c.rate)
		c.mu.Lock()
		c.faulty = c.fault != "healthy" && at >= faultAt && at < faultAt+faultLasts
		c.mu.Unlock()
		for i, id := range ids {
			p, used := c.purses[random.IntN(routers)], 60+random.Int64N(90)
			wait.Go(func() { c.request(p, id, fmt.Sprint(i, "-", n), used) })
		}
		time.Sleep(time.Second / time.Duration(c.rate))
	}
	wait.Wait()
	cancel()
	synctest.Wait()
	var over int64
	for _, id := range ids {
		over = max(over, c.used[id]-c.left)
	}
	return over
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
					c := &trial{policy: p, fault: fault, left: budgetTokens * percent / 100, rate: 20, budgets: 1}
					over := c.run(t)
					assert.Assert(t, over <= 0)
					missed := max(c.idealServed-c.served, 0)
					t.Logf("%-14s %2d%% left, %-16s: overspend %d, served %d of %d possible, false refusals %.2f%%, %.1f commits/s",
						fault, percent, p.name, max(over, 0), c.served, c.idealServed,
						100*float64(missed)/float64(c.idealServed), float64(c.commits)/lasts.Seconds())
				})
			}
		}
	}
}

// TestTableWrites checks the goal for table writes at 200 requests a second on 8 routers.
func TestTableWrites(t *testing.T) {
	const maxCommitsPerSecond = 100
	synctest.Test(t, func(t *testing.T) {
		c := &trial{policy: policies[2], fault: "healthy", left: 10 * budgetTokens, rate: 20, budgets: 10}
		assert.Assert(t, c.run(t) <= 0)
		perSecond := float64(c.commits) / lasts.Seconds()
		t.Logf("%.1f commits/s at %d requests/s", perSecond, c.rate*c.budgets)
		assert.Assert(t, perSecond < maxCommitsPerSecond)
	})
}
