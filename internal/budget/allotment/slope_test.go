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
	fleetRate     = 20 // requests per second at each router
	fleetBudget   = 1 << 40
	fleetMaxWrite = 300 // commits per second of the whole fleet

	usedTokensRange = 90
	minUsedTokens   = 60
)

// writeSettings is the settings that determine how often a router writes to the table.
type writeSettings struct {
	name           string
	horizon        time.Duration
	settleInterval time.Duration
	idleTimeout    time.Duration
}

var (
	smallFleet = writeSettings{name: "defaults", horizon: time.Minute, settleInterval: time.Second, idleTimeout: 30 * time.Second}
	largeFleet = writeSettings{name: "for 1,100 routers", horizon: 10 * time.Minute, settleInterval: 10 * time.Second, idleTimeout: 10 * time.Minute}
)

// writeCounter runs one router and counts its commits. No other router contends for its
// rows.
type writeCounter struct {
	settings writeSettings
	rate     int // requests per second
	budgets  int

	store   *platform.Store
	manager *allotment.Manager

	mu          sync.Mutex // guards the fields below
	commits     int
	settlements int // commits with bills
	refused     int
}

func (w *writeCounter) commit(_ context.Context, c table.Commit) (uint64, error) {
	time.Sleep(tableDelay)
	w.mu.Lock()
	w.commits++
	if slices.ContainsFunc(c.Puts, isBill) {
		w.settlements++
	}
	w.mu.Unlock()
	return w.store.Commit(c)
}

func isBill(p table.Put) bool { return strings.HasPrefix(p.Key, ledger.BillKey("w", "")) }

func (w *writeCounter) get(_ context.Context, keys ...string) ([]table.Row, error) {
	time.Sleep(tableDelay)
	return w.store.Get(keys), nil
}

func (w *writeCounter) start(ctx context.Context) {
	w.store = platform.NewStore()
	books := &witness.Books{SelfID: func() string { return "witness" }}
	w.manager = &allotment.Manager{
		Ledger:         &ledger.Ledger{Holder: "r", Commit: w.commit, Get: w.get},
		DrawSize:       demand.SizeByDemand(w.settings.horizon),
		SettleInterval: w.settings.settleInterval,
		IdleTimeout:    w.settings.idleTimeout,
		PickWitness:    func([]string) (allotment.Witness, bool) { return allotment.Witness{ID: "witness"}, true },
		AppendToWitness: func(_ context.Context, _ allotment.Witness, in inner.WitnessAppend) (inner.WitnessAppendAck, error) {
			time.Sleep(witnessDelay)
			return books.Append(in)
		},
	}
	go func() { _ = w.manager.Run(ctx) }()
}

func (w *writeCounter) request(id ledger.BudgetID, key string, usedTokens int64) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := w.manager.Reserve(ctx, id, worstCase)
	if err == nil {
		err = r.RecordAttempt(ctx, allotment.Attempt{RunID: key, RequestKey: key})
	}
	if err != nil {
		w.mu.Lock()
		w.refused++
		w.mu.Unlock()
		return
	}
	time.Sleep(runDuration)
	r.Bill(ledger.BillRow{RequestKey: key, CompletionTokens: usedTokens})
}

// sendRequests sends requests to random budgets at the rate, for the duration.
func (w *writeCounter) sendRequests(rng *rand.Rand, phase string, duration time.Duration) {
	var wait sync.WaitGroup
	interval := time.Second / time.Duration(w.rate)
	for n := range int(duration / interval) {
		id, usedTokens := id(rng.IntN(w.budgets)), minUsedTokens+rng.Int64N(usedTokensRange)
		wait.Go(func() { w.request(id, fmt.Sprint(phase, n), usedTokens) })
		time.Sleep(interval)
	}
	wait.Wait()
}

// run returns the commits per second after a warm-up. It measures for one horizon, which
// covers at least two draws ahead of demand.
func (w *writeCounter) run(t *testing.T) float64 {
	duration := w.settings.horizon
	ctx, cancel := context.WithCancel(context.Background())
	w.start(ctx)
	for i := range w.budgets {
		assert.NilError(t, w.manager.Ledger.Create(ctx, id(i), fleetBudget, id(i).Name))
	}
	rng := rand.New(rand.NewPCG(1, 2))
	w.sendRequests(rng, "warm", w.settings.horizon)
	w.mu.Lock()
	w.commits, w.settlements = 0, 0
	w.mu.Unlock()
	w.sendRequests(rng, "measured", duration)
	cancel()
	synctest.Wait()
	assert.Equal(t, w.refused, 0)
	return float64(w.commits) / duration.Seconds()
}

// TestTableWritesSlope checks the limit on the table writes of a large fleet; with
// -measure it prints them by request rate and number of budgets.
func TestTableWritesSlope(t *testing.T) {
	measureWrites := func(p writeSettings, rate, budgets int) float64 {
		var perSecond float64
		var w *writeCounter
		synctest.Test(t, func(t *testing.T) {
			w = &writeCounter{settings: p, rate: rate, budgets: budgets}
			perSecond = w.run(t)
		})
		t.Logf("%-18s %3d requests/s, %5d budgets: %.3f commits/s (%.0f%% with bills), %.0f of %d routers",
			p.name, rate, budgets, perSecond, 100*float64(w.settlements)/float64(w.commits), perSecond*fleetRouters, fleetRouters)
		return perSecond
	}
	assert.Assert(t, measureWrites(largeFleet, fleetRate, 10)*fleetRouters < fleetMaxWrite)
	assert.Assert(t, measureWrites(smallFleet, fleetRate, 10)*fleetRouters >= fleetMaxWrite, "settings make no difference")
	if !*measure {
		return
	}
	for _, p := range []writeSettings{smallFleet, largeFleet} {
		for _, budgets := range []int{1, 10, 30, 100, 300, 1000} {
			measureWrites(p, fleetRate, budgets)
		}
		measureWrites(p, fleetRate/4, 10)
		measureWrites(p, fleetRate*4, 10)
	}
}
