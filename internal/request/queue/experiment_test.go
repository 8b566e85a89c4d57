package queue

import (
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rosevalve/internal/target/balance"
	"rosevalve/internal/target/health"
	"rosevalve/internal/target/pool"
)

// engineModel simulates an inference engine with continuous batching: the time per
// token grows with the number of active runs, a prompt takes time unless its prefix
// is cached, and the prefix cache is a small LRU cache.
type engineModel struct {
	slots int

	mu             sync.Mutex // guards the fields below
	running        int
	waiting        []chan struct{} // runs that wait for a slot, urgent ones first
	urgentWaiting  int             // number of urgent runs at the front of waiting
	cachedPrefixes []uint64        // least recently used first
	down           bool
	hits           int
	misses         int
}

const (
	engineBaseGap     = 20 * time.Millisecond
	engineSlowdown    = 1.0 / 32 // of the base gap, for each active run
	enginePrefillRate = 8000     // prompt tokens per second
	engineCacheSize   = 24       // prefixes
	engineSlots       = 48
)

// tokenGap returns the current time per token.
func (e *engineModel) tokenGap() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engineBaseGap + time.Duration(float64(engineBaseGap)*engineSlowdown*float64(e.running))
}

// lookUp reports whether the prefix is cached, and makes it the most recently used.
func (e *engineModel) lookUp(prefix uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.Index(e.cachedPrefixes, prefix)
	if i >= 0 {
		e.hits++
		e.cachedPrefixes = append(slices.Delete(e.cachedPrefixes, i, i+1), prefix)
		return true
	}
	e.misses++
	e.cachedPrefixes = append(e.cachedPrefixes, prefix)
	if len(e.cachedPrefixes) > engineCacheSize {
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
	return false
}

func (e *engineModel) failed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// acquireSlot waits for a slot; urgent runs go before long ones.
func (e *engineModel) acquireSlot(urgent bool) {
	e.mu.Lock()
	if e.running < e.slots {
		e.running++
		e.mu.Unlock()
		return
	}
	slotFree := make(chan struct{})
	if urgent {
		e.waiting = slices.Insert(e.waiting, e.urgentWaiting, slotFree)
		e.urgentWaiting++
	} else {
		e.waiting = append(e.waiting, slotFree)
	}
	e.mu.Unlock()
	<-slotFree
}

// releaseSlot passes the slot to the first waiting run, if there is one.
func (e *engineModel) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) == 0 {
		e.running--
		return
	}
	close(e.waiting[0])
	e.waiting = e.waiting[1:]
	e.urgentWaiting = max(0, e.urgentWaiting-1)
}

// job is one request of the experiment.
type job struct {
	workspace string
	urgent    bool
	prompt    int64 // tokens
	tokens    int64 // of the completion
	prefix    uint64
}

// run simulates the job at the engine, reports it to the slot as the dispatcher
// does, calls token for each token, and reports whether the job succeeded.
func (e *engineModel) run(j job, slot *pool.Slot, token func()) bool {
	if e.failed() {
		slot.SetOutcome(pool.Unreachable)
		return false
	}
	e.acquireSlot(j.urgent)
	defer e.releaseSlot()
	prompt := j.prompt
	if e.lookUp(j.prefix) {
		prompt /= 10
	}
	time.Sleep(time.Duration(prompt) * time.Second / enginePrefillRate)
	for range j.tokens {
		time.Sleep(e.tokenGap())
		if e.failed() {
			slot.SetOutcome(pool.Failed)
			return false
		}
		slot.ObserveToken()
		token()
	}
	slot.SetUsedTokens(j.prompt + j.tokens)
	slot.SetOutcome(pool.Succeeded)
	return true
}

// policy is a configuration of the queues and of the choice of targets.
type policy struct {
	name      string
	configure func(p *pool.Pool, q *Queues)
}

// unlimited configures order of arrival, no reserved slots and, in effect, no limits
// on outstanding requests and waits.
func unlimited(p *pool.Pool, q *Queues) {
	p.Goals = health.LimitConfig{Initial: 100_000, MaxLimit: 100_000, Fixed: true}
	p.NoUrgentReserve = true
	q.Less = ArrivalOrder
	q.MaxLongWait, q.MaxUrgentWait = 24*time.Hour, 24*time.Hour
}

// roundRobin returns a Choose function that takes the candidates in turn.
func roundRobin() func(uint64, float64, []balance.Candidate) int {
	next := 0
	return func(_ uint64, _ float64, c []balance.Candidate) int {
		for range c {
			next++
			if c[next%len(c)].HasSlot {
				return next % len(c)
			}
		}
		return -1
	}
}

// leastLoaded is a Choose function that takes the candidate with the least load.
func leastLoaded(_ uint64, _ float64, c []balance.Candidate) int {
	out := -1
	for i, t := range c {
		if t.HasSlot && (out < 0 || t.Load < c[out].Load) {
			out = i
		}
	}
	return out
}

var policies = []policy{
	{"fair", func(*pool.Pool, *Queues) {}},
	{"first values", func(p *pool.Pool, q *Queues) {
		p.Goals.FirstToken = 530 * time.Millisecond
		p.UrgentReserve = 0.1
		q.MaxUrgentWait = 300 * time.Millisecond
		q.HeadStart = 200_000
	}},
	{"long wait 5 s", func(_ *pool.Pool, q *Queues) { q.MaxLongWait = 5 * time.Second }},
	{"fair, no affinity", func(p *pool.Pool, _ *Queues) { p.NoAffinity = true }},
	{"fifo, fixed limit", func(p *pool.Pool, q *Queues) {
		unlimited(p, q)
		p.Goals = health.LimitConfig{Initial: engineSlots, Fixed: true}
	}},
	{"round robin", func(p *pool.Pool, q *Queues) { unlimited(p, q); p.Choose = roundRobin() }},
	{"least outstanding", func(p *pool.Pool, q *Queues) { unlimited(p, q); p.Choose = leastLoaded }},
}

// trial is one run of the experiment and its measurements.
type trial struct {
	pool    *pool.Pool
	queues  *Queues
	engines map[string]*engineModel
	began   time.Time

	mu                 sync.Mutex       // guards the fields below
	firstTokens        []time.Duration  // times to first token of urgent requests
	tokenGaps          []time.Duration  // times between consecutive tokens of a request
	tokens             map[string]int64 // prompt and completion tokens by workspace, during trialDuration
	generated          int64            // completion tokens during trialDuration
	firstTokensAfter   []time.Duration  // like firstTokens, for requests that began at least five seconds after the overload
	refused            int              // until recoveredAfter
	urgentRefusedAfter int
	longRefusedAfter   int
	answered           int
	attempts           int // granted slots
	requests           int // requests with at least one granted slot
}

const (
	trialEngines     = 4
	trialDuration    = 60 * time.Second
	recoveryDuration = 20 * time.Second
	recoveredAfter   = trialDuration + 5*time.Second
	// trialCapacity is the throughput of all engines in tokens per second with
	// engineSlots runs each, at 50 ms per token.
	trialCapacity = trialEngines * engineSlots * 1000 / 50
)

func newTrial(p policy) *trial {
	t := &trial{pool: &pool.Pool{}, queues: &Queues{}, engines: make(map[string]*engineModel), tokens: make(map[string]int64)}
	p.configure(t.pool, t.queues)
	t.queues.Pick, t.queues.Slots, t.queues.ProbeDelay = t.pool.Reserve, t.pool.Slots, t.pool.ProbeDelay
	t.pool.OnFreeSlot = t.queues.GrantFreed
	t.pool.SetTargets(engines(trialEngines))
	for _, e := range engines(trialEngines) {
		t.engines[e.Addr] = &engineModel{slots: engineSlots}
	}
	return t
}

// nextJob draws a random request: three workspaces have unequal demand, and half of
// the requests are urgent.
func nextJob(r *rand.Rand) job {
	j := job{workspace: "large", prompt: 800, prefix: 1 + r.Uint64N(60)}
	switch x := r.IntN(10); {
	case x < 2:
		j.workspace = "small"
	case x < 5:
		j.workspace = "middle"
	}
	if r.IntN(2) == 0 {
		j.urgent, j.tokens = true, 20+r.Int64N(40)
		return j
	}
	j.tokens = 100 + r.Int64N(200)
	return j
}

// meanTokens is the mean number of completion tokens of nextJob.
const meanTokens = (40 + 200) / 2

// send performs the job with at most three attempts, at different engines, and
// records the measurements.
func (t *trial) send(ctx context.Context, j job, measuring func() bool) {
	began := time.Now()
	recovered := began.Sub(t.began) >= recoveredAfter
	exclude := make(map[string]bool)
	for n := range 3 {
		slot, refusal := t.queues.Acquire(ctx, Request{Workspace: j.workspace, Demand: pool.Requirements{
			Model: testModel, Urgent: j.urgent, Tokens: j.prompt + j.tokens, Prefix: j.prefix, Exclude: exclude,
		}})
		if refusal != nil {
			t.locked(func() { t.addRefusal(recovered, j.urgent) })
			return
		}
		exclude[slot.Addr()] = true
		t.locked(func() { t.attempts++; t.requests += 1 - min(n, 1) })
		tokens, last := 0, time.Now()
		ok := t.engines[slot.Addr()].run(j, slot, func() {
			now := time.Now()
			t.locked(func() {
				switch {
				case tokens == 0 && j.urgent:
					t.addFirstToken(recovered, now.Sub(began))
				case tokens > 0:
					t.tokenGaps = append(t.tokenGaps, now.Sub(last))
				}
				if measuring() {
					t.addToken(j, tokens == 0)
				}
			})
			tokens++
			last = now
		})
		slot.Release()
		if ok {
			t.locked(func() { t.answered++ })
			return
		}
		if tokens > 0 {
			return
		}
	}
}

// addRefusal counts a refusal. The caller holds mu.
func (t *trial) addRefusal(recovered, urgent bool) {
	switch {
	case !recovered:
		t.refused++
	case urgent:
		t.urgentRefusedAfter++
	default:
		t.longRefusedAfter++
	}
}

// addFirstToken records the time to first token of an urgent request. The caller holds mu.
func (t *trial) addFirstToken(recovered bool, d time.Duration) {
	if recovered {
		t.firstTokensAfter = append(t.firstTokensAfter, d)
		return
	}
	t.firstTokens = append(t.firstTokens, d)
}

// addToken counts a token, and the prompt's tokens with the first. The caller holds mu.
func (t *trial) addToken(j job, first bool) {
	t.generated++
	t.tokens[j.workspace]++
	if first {
		t.tokens[j.workspace] += j.prompt
	}
}

// locked calls f with mu held.
func (t *trial) locked(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

// run sends the load, relative to the capacity, for trialDuration and then half the
// capacity for recoveryDuration. With outage, half the engines fail halfway.
func (t *trial) run(load float64, outage bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = t.pool.Run(ctx) }()
	go func() { _ = t.queues.Run(ctx) }()
	began := time.Now()
	measuring := func() bool { return time.Since(began) < trialDuration }
	r := rand.New(rand.NewPCG(7, 7))
	t.began = began
	t.sendLoad(ctx, r, load, trialDuration, measuring, func(since time.Duration) {
		if outage && since > trialDuration/2 {
			t.failEngines(trialEngines / 2)
		}
	})
	t.sendLoad(ctx, r, 0.5, recoveryDuration, measuring, func(time.Duration) {})
	time.Sleep(10 * time.Minute)
	cancel()
	time.Sleep(time.Minute)
}

// failEngines makes the first n engines fail.
func (t *trial) failEngines(n int) {
	for _, e := range engines(n) {
		m := t.engines[e.Addr]
		m.mu.Lock()
		m.down = true
		m.mu.Unlock()
	}
}

// sendLoad sends jobs for the duration d as a Poisson process with the given load
// relative to the capacity. It calls beforeSend with the elapsed time before each job.
func (t *trial) sendLoad(ctx context.Context, r *rand.Rand, load float64, d time.Duration, measuring func() bool, beforeSend func(time.Duration)) {
	rate := load * trialCapacity / meanTokens
	var sends sync.WaitGroup
	began := time.Now()
	for time.Since(began) < d {
		time.Sleep(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		beforeSend(time.Since(began))
		j := nextJob(r)
		sends.Go(func() { t.send(ctx, j, measuring) })
	}
}

// percentile returns the p-th percentile of d, or 0 if d is empty. It sorts d.
func percentile(d []time.Duration, p int) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[len(d)*p/100]
}

// logRow logs one row of the table.
func (t *trial) logRow(tb testing.TB, name string, load float64) {
	var shares []float64
	for _, n := range t.tokens {
		shares = append(shares, float64(n))
	}
	hits, misses := 0, 0
	for _, e := range t.engines {
		hits += e.hits
		misses += e.misses
	}
	tb.Logf("%-18s load %.1f: urgent first p50 %5.0f ms p95 %6.0f ms; gap p95 %3.0f ms; goodput %5.0f tokens/s; Jain %.3f; refused %4.1f%%; attempts/request %.3f; cache hits %2.0f%%; 5 s after: p95 %5.0f ms, refused %d urgent, %d long",
		name, load, ms(percentile(t.firstTokens, 50)), ms(percentile(t.firstTokens, 95)), ms(percentile(t.tokenGaps, 95)),
		float64(t.generated)/trialDuration.Seconds(), jainIndex(shares),
		100*float64(t.refused)/float64(max(1, t.refused+t.requests)),
		float64(t.attempts)/float64(max(1, t.requests)), 100*float64(hits)/float64(max(1, hits+misses)),
		ms(percentile(t.firstTokensAfter, 95)), t.urgentRefusedAfter, t.longRefusedAfter)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// TestPolicies prints the table of docs/design/load.md if ROSEVALVE_EXPERIMENT is set.
func TestPolicies(t *testing.T) {
	if os.Getenv("ROSEVALVE_EXPERIMENT") == "" {
		t.Skip("set ROSEVALVE_EXPERIMENT=1 to run the experiment")
	}
	for _, load := range []float64{0.5, 1, 2, 4} {
		for _, p := range policies {
			synctest.Test(t, func(t *testing.T) {
				trial := newTrial(p)
				trial.run(load, false)
				trial.logRow(t, p.name, load)
			})
		}
	}
	synctest.Test(t, func(t *testing.T) {
		trial := newTrial(policies[0])
		trial.run(0.5, true)
		trial.logRow(t, "half fail at 30 s", 0.5)
	})
}
