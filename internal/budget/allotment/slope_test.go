package allotment_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
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

const (
	fleetRouters  = 1100
	fleetRate     = 20 // requests a second at each router
	fleetBudget   = 1 << 40
	fleetMaxWrite = 300 // commits a second of the whole fleet

	maxUsed     = 90
	minimumUsed = 60
)

// pace is the settings that decide how often a router writes.
type pace struct {
	name           string
	horizon        time.Duration
	settleInterval time.Duration
	idleAfter      time.Duration
}

var (
	smallFleet = pace{name: "defaults", horizon: time.Minute, settleInterval: time.Second, idleAfter: 30 * time.Second}
	largeFleet = pace{name: "for 1,100 routers", horizon: 10 * time.Minute, settleInterval: 10 * time.Second, idleAfter: 10 * time.Minute}
)

// writer is one router whose commits are counted; others don't contend with it.
type writer struct {
	pace    pace
	rate    int // requests a second
	budgets int

	store *platform.Store
	purse *allotment.Purse

	mu      sync.Mutex // guards the fields below
	commits int
	settled int // commits with bills
	refused int
}

func (w *writer) commit(_ context.Context, c table.Commit) (uint64, error) {
	time.Sleep(tableDelay)
	w.mu.Lock()
	w.commits++
	if slices.ContainsFunc(c.Puts, isBill) {
		w.settled++
	}
	w.mu.Unlock()
	return w.store.Commit(c)
}

func isBill(p table.Put) bool { return strings.HasPrefix(p.Key, ledger.BillKey("w", "")) }

func (w *writer) get(_ context.Context, keys ...string) ([]table.Row, error) {
	time.Sleep(tableDelay)
	return w.store.Get(keys), nil
}

func (w *writer) start(ctx context.Context) {
	w.store = platform.NewStore()
	books := &witness.Books{Self: func() string { return "witness" }}
	w.purse = &allotment.Purse{
		Ledger:         &ledger.Ledger{Holder: "r", Commit: w.commit, Get: w.get},
		Size:           demand.SizeByDemand(w.pace.horizon),
		SettleInterval: w.pace.settleInterval,
		IdleAfter:      w.pace.idleAfter,
		PickWitness:    func([]string) (allotment.Witness, bool) { return allotment.Witness{ID: "witness"}, true },
		Append: func(_ context.Context, _ allotment.Witness, in inner.WitnessAppend) (inner.WitnessAppendAck, error) {
			time.Sleep(peerDelay)
			return books.Append(in)
		},
	}
	go func() { _ = w.purse.Run(ctx) }()
}

func (w *writer) request(id ledger.BudgetID, key string, used int64) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := w.purse.Reserve(ctx, id, worstCase)
	if err == nil {
		err = r.Announce(ctx, allotment.Attempt{RunID: key, RequestKey: key})
	}
	if err != nil {
		w.mu.Lock()
		w.refused++
		w.mu.Unlock()
		return
	}
	time.Sleep(runTime)
	r.Bill(ledger.BillRow{RequestKey: key, CompletionTokens: used})
}

// offer sends requests to random budgets for a time.
func (w *writer) offer(random *rand.Rand, phase string, lasts time.Duration) {
	var wait sync.WaitGroup
	interval := time.Second / time.Duration(w.rate)
	for n := range int(lasts / interval) {
		id, used := id(random.IntN(w.budgets)), minimumUsed+random.Int64N(maxUsed)
		wait.Go(func() { w.request(id, fmt.Sprint(phase, n), used) })
		time.Sleep(interval)
	}
	wait.Wait()
}

// run returns the commits a second, after a warm-up, over at least two draws ahead of demand.
func (w *writer) run(t *testing.T) float64 {
	lasts := w.pace.horizon
	ctx, cancel := context.WithCancel(context.Background())
	w.start(ctx)
	for i := range w.budgets {
		assert.NilError(t, w.purse.Ledger.Create(ctx, id(i), fleetBudget, id(i).Name))
	}
	random := rand.New(rand.NewPCG(1, 2))
	w.offer(random, "warm", w.pace.horizon)
	w.mu.Lock()
	w.commits, w.settled = 0, 0
	w.mu.Unlock()
	w.offer(random, "measured", lasts)
	cancel()
	synctest.Wait()
	assert.Equal(t, w.refused, 0)
	return float64(w.commits) / lasts.Seconds()
}

// TestTableWritesSlope checks the goal for the writes of a large fleet; with
// -measure it prints them by requests a second and budgets served.
func TestTableWritesSlope(t *testing.T) {
	measured := func(p pace, rate, budgets int) float64 {
		var perSecond float64
		var w *writer
		synctest.Test(t, func(t *testing.T) {
			w = &writer{pace: p, rate: rate, budgets: budgets}
			perSecond = w.run(t)
		})
		t.Logf("%-18s %3d requests/s, %5d budgets: %.3f commits/s (%.0f%% with bills), %.0f of %d routers",
			p.name, rate, budgets, perSecond, 100*float64(w.settled)/float64(w.commits), perSecond*fleetRouters, fleetRouters)
		return perSecond
	}
	assert.Assert(t, measured(largeFleet, fleetRate, 10)*fleetRouters < fleetMaxWrite)
	assert.Assert(t, measured(smallFleet, fleetRate, 10)*fleetRouters >= fleetMaxWrite, "settings make no difference")
	if !*measure {
		return
	}
	for _, p := range []pace{smallFleet, largeFleet} {
		for _, budgets := range []int{1, 10, 30, 100, 300, 1000} {
			measured(p, fleetRate, budgets)
		}
		measured(p, fleetRate/4, 10)
		measured(p, fleetRate*4, 10)
	}
}
