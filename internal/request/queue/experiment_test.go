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

// engineModel is a continuously batching engine: a token takes longer the more
// runs there are, a prompt takes time unless its prefix is cached, and the cache
// holds few prefixes.
type engineModel struct {
	slots int

	mu      sync.Mutex // guards the fields below
	running int
	queue   []chan struct{} // runs that wait for a slot, urgent ones first
	urgent  int             // of queue
	cache   []uint64        // least recently used first
	down    bool
	hits    int
	misses  int
}

const (
	engineBaseGap  = 20 * time.Millisecond
	engineSlowdown = 1.0 / 32 // of the base gap for each run
	enginePrefill  = 8000     // prompt tokens per second
	engineCached   = 24       // prefixes
	engineSlots    = 48
)

func (e *engineModel) gap() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engineBaseGap + time.Duration(float64(engineBaseGap)*engineSlowdown*float64(e.running))
}

// cached reports whether the prefix is in the cache, and keeps it there.
func (e *engineModel) cached(prefix uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.Index(e.cache, prefix)
	if i >= 0 {
		e.hits++
		e.cache = append(slices.Delete(e.cache, i, i+1), prefix)
		return true
	}
	e.misses++
	e.cache = append(e.cache, prefix)
	if len(e.cache) > engineCached {
		e.cache = e.cache[1:]
	}
	return false
}

func (e *engineModel) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// enter waits for a slot; urgent runs go before long ones.
func (e *engineModel) enter(urgent bool) {
	e.mu.Lock()
	if e.running < e.slots {
		e.running++
		e.mu.Unlock()
		return
	}
	turn := make(chan struct{})
	if urgent {
		e.queue = slices.Insert(e.queue, e.urgent, turn)
		e.urgent++
	} else {
		e.queue = append(e.queue, turn)
	}
	e.mu.Unlock()
	<-turn
}

func (e *engineModel) exit() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) == 0 {
		e.running--
		return
	}
	close(e.queue[0])
	e.queue = e.queue[1:]
	e.urgent = max(0, e.urgent-1)
}

// job is one request of the experiment.
type job struct {
	workspace string
	urgent    bool
	prompt    int64
	tokens    int64
	prefix    uint64
}

// run performs the job at the engine as a router would see it.
func (e *engineModel) run(j job, place *pool.Place, token func()) bool {
	if e.isDown() {
		place.Report(pool.Unreachable)
		return false
	}
	e.enter(j.urgent)
	defer e.exit()
	prompt := j.prompt
	if e.cached(j.prefix) {
		prompt /= 10
	}
	time.Sleep(time.Duration(prompt) * time.Second / enginePrefill)
	for range j.tokens {
		time.Sleep(e.gap())
		if e.isDown() {
			place.Report(pool.Failed)
			return false
		}
		place.Token()
		token()
	}
	place.Used(j.prompt + j.tokens)
	place.Report(pool.Succeeded)
	return true
}

// policy is one way to queue and to choose targets.
type policy struct {
	name   string
	change func(p *pool.Pool, q *Queues)
}

func unlimited(p *pool.Pool, q *Queues) {
	p.Goals = health.Goals{Initial: 100_000, Most: 100_000, Fixed: true}
	p.NoReserve = true
	q.Before = ByArrival
	q.LongWait, q.UrgentWait = 24*time.Hour, 24*time.Hour
}

// roundRobin returns a choice that takes the targets in turn.
func roundRobin() func(uint64, float64, []balance.Candidate) int {
	next := 0
	return func(_ uint64, _ float64, c []balance.Candidate) int {
		for range c {
			next++
			if c[next%len(c)].Room {
				return next % len(c)
			}
		}
		return -1
	}
}

func leastLoaded(_ uint64, _ float64, c []balance.Candidate) int {
	out := -1
	for i, t := range c {
		if t.Room && (out < 0 || t.Load < c[out].Load) {
			out = i
		}
	}
	return out
}

var policies = []policy{
	{"fair", func(*pool.Pool, *Queues) {}},
	{"first values", func(p *pool.Pool, q *Queues) {
		p.Goals.FirstToken = 530 * time.Millisecond
		p.Reserve = 0.1
		q.UrgentWait = 300 * time.Millisecond
		q.Warp = 200_000
	}},
	{"long wait 5 s", func(_ *pool.Pool, q *Queues) { q.LongWait = 5 * time.Second }},
	{"fair, no affinity", func(p *pool.Pool, _ *Queues) { p.NoAffinity = true }},
	{"fifo, fixed limit", func(p *pool.Pool, q *Queues) {
		unlimited(p, q)
		p.Goals = health.Goals{Initial: engineSlots, Fixed: true}
	}},
	{"round robin", func(p *pool.Pool, q *Queues) { unlimited(p, q); p.Choose = roundRobin() }},
	{"least outstanding", func(p *pool.Pool, q *Queues) { unlimited(p, q); p.Choose = leastLoaded }},
}

// trial is one run of the experiment and what it has measured.
type trial struct {
	pool    *pool.Pool
	queues  *Queues
	engines map[string]*engineModel
	began   time.Time

	mu                 sync.Mutex // guards the fields below
	first              []time.Duration
	gaps               []time.Duration
	tokens             map[string]int64 // prompt and completion by workspace, while the load lasts
	generated          int64
	after              []time.Duration // as first, for requests that began five seconds after the overload
	refused            int
	urgentRefusedAfter int
	longRefusedAfter   int
	answered           int
	attempts           int
	requests           int
}

const (
	trialEngines  = 4
	trialDuration = 60 * time.Second
	calmDuration  = 20 * time.Second
	calmAfter     = trialDuration + 5*time.Second
	// trialCapacity is the tokens per second of the engines at 48 runs each.
	trialCapacity = trialEngines * engineSlots * 1000 / 50
)

func newTrial(p policy) *trial {
	t := &trial{pool: &pool.Pool{}, queues: &Queues{}, engines: make(map[string]*engineModel), tokens: make(map[string]int64)}
	p.change(t.pool, t.queues)
	t.queues.Pick, t.queues.Places, t.queues.ProbeIn = t.pool.Pick, t.pool.Places, t.pool.ProbeIn
	t.pool.OnRoom = t.queues.Room
	t.pool.Set(engines(trialEngines))
	for _, e := range engines(trialEngines) {
		t.engines[e.Addr] = &engineModel{slots: engineSlots}
	}
	return t
}

// nextJob draws a request: three workspaces with unequal demand, a quarter of the tokens urgent.
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

// meanTokens is the mean completion of nextJob.
const meanTokens = (40 + 200) / 2

func (t *trial) send(ctx context.Context, j job, counting func() bool) {
	began := time.Now()
	calm := began.Sub(t.began) >= calmAfter
	exclude := make(map[string]bool)
	for n := range 3 {
		place, refusal := t.queues.Acquire(ctx, Ticket{Workspace: j.workspace, Demand: pool.Demand{
			Model: testModel, Urgent: j.urgent, Tokens: j.prompt + j.tokens, Prefix: j.prefix, Exclude: exclude,
		}})
		if refusal != nil {
			t.count(func() { t.refuse(calm, j.urgent) })
			return
		}
		exclude[place.Addr()] = true
		t.count(func() { t.attempts++; t.requests += 1 - min(n, 1) })
		tokens, last := 0, time.Now()
		ok := t.engines[place.Addr()].run(j, place, func() {
			now := time.Now()
			t.count(func() {
				switch {
				case tokens == 0 && j.urgent:
					t.answer(calm, now.Sub(began))
				case tokens > 0:
					t.gaps = append(t.gaps, now.Sub(last))
				}
				if counting() {
					t.serve(j, tokens == 0)
				}
			})
			tokens++
			last = now
		})
		place.Release()
		if ok {
			t.count(func() { t.answered++ })
			return
		}
		if tokens > 0 {
			return
		}
	}
}

// refuse counts a refusal. The caller holds mu.
func (t *trial) refuse(calm, urgent bool) {
	switch {
	case !calm:
		t.refused++
	case urgent:
		t.urgentRefusedAfter++
	default:
		t.longRefusedAfter++
	}
}

// answer takes in the first token of an urgent request. The caller holds mu.
func (t *trial) answer(calm bool, d time.Duration) {
	if calm {
		t.after = append(t.after, d)
		return
	}
	t.first = append(t.first, d)
}

// serve counts a token, and the prompt with the first. The caller holds mu.
func (t *trial) serve(j job, first bool) {
	t.generated++
	t.tokens[j.workspace]++
	if first {
		t.tokens[j.workspace] += j.prompt
	}
}

func (t *trial) count(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

// play sends the load for the trial's duration, then half the capacity for ten seconds.
func (t *trial) play(load float64, outage bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = t.pool.Run(ctx) }()
	go func() { _ = t.queues.Run(ctx) }()
	began := time.Now()
	counting := func() bool { return time.Since(began) < trialDuration }
	r := rand.New(rand.NewPCG(7, 7))
	t.began = began
	t.arrivals(ctx, r, load, trialDuration, counting, func(since time.Duration) {
		if outage && since > trialDuration/2 {
			t.fail(trialEngines / 2)
		}
	})
	t.arrivals(ctx, r, 0.5, calmDuration, counting, func(time.Duration) {})
	time.Sleep(10 * time.Minute)
	cancel()
	time.Sleep(time.Minute)
}

func (t *trial) fail(n int) {
	for _, e := range engines(n) {
		m := t.engines[e.Addr]
		m.mu.Lock()
		m.down = true
		m.mu.Unlock()
	}
}

func (t *trial) arrivals(ctx context.Context, r *rand.Rand, load float64, d time.Duration, counting func() bool, each func(time.Duration)) {
	rate := load * trialCapacity / meanTokens
	var group sync.WaitGroup
	began := time.Now()
	for time.Since(began) < d {
		time.Sleep(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		each(time.Since(began))
		j := nextJob(r)
		group.Go(func() { t.send(ctx, j, counting) })
	}
}

func percentile(d []time.Duration, p int) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[len(d)*p/100]
}

// report logs one row of the table.
func (t *trial) report(tb testing.TB, name string, load float64) {
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
		name, load, ms(percentile(t.first, 50)), ms(percentile(t.first, 95)), ms(percentile(t.gaps, 95)),
		float64(t.generated)/trialDuration.Seconds(), jain(shares),
		100*float64(t.refused)/float64(max(1, t.refused+t.requests)),
		float64(t.attempts)/float64(max(1, t.requests)), 100*float64(hits)/float64(max(1, hits+misses)),
		ms(percentile(t.after, 95)), t.urgentRefusedAfter, t.longRefusedAfter)
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
				trial.play(load, false)
				trial.report(t, p.name, load)
			})
		}
	}
	synctest.Test(t, func(t *testing.T) {
		trial := newTrial(policies[0])
		trial.play(0.5, true)
		trial.report(t, "half fail at 30 s", 0.5)
	})
}
