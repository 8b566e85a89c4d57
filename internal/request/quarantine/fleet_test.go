package quarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/target/crash"
)

const (
	// contactTime is how long the fleet may take to stop sending a harmful prompt after its fifth
	// crash, and how long a router that was cut off or restarted is excused. maxLate is how many such
	// prompts may be sent after that.
	contactTime = 3 * time.Second
	maxLate     = 3
	// shownAfter is how long an answer must run to show that its prompt is sound.
	shownAfter = 500 * time.Millisecond
	downtime   = 3 * time.Second
)

// simulation is a fleet of routers in front of engines, in virtual time.
type simulation struct {
	mu       sync.Mutex // guards the fields below
	rng      *rand.Rand
	store    testStore
	storeUp  bool
	routers  []*simRouter
	engines  []*simEngine
	ended    bool
	lastPart uint64

	harmful  map[uint64]*harm // by part
	refused  int              // sound prompts that were refused
	served   int              // sound prompts that were answered
	breaches []string
}

// harm counts what one harmful part did.
type harm struct {
	crashes int
	fifthAt time.Time
	late    int
}

// simRouter is one router; a restart replaces its Quarantine.
type simRouter struct {
	number    int
	q         *Quarantine
	stop      context.CancelFunc
	cut       bool      // from the other routers and the store
	excusedAt time.Time // when it was last cut off or restarted
}

type simEngine struct {
	addr        string
	incarnation int
	up          bool
	crashed     chan struct{} // closed at the end of the incarnation
}

func newSimulation(seed uint64, routers, engines int) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), store: testStore{rows: make(map[string]table.Row)}, storeUp: true, harmful: make(map[uint64]*harm), lastPart: 1 << 20,
	}
	for n := range routers {
		s.routers = append(s.routers, &simRouter{number: n})
	}
	for n := range engines {
		s.engines = append(s.engines, &simEngine{addr: fmt.Sprintf("engine-%d", n), up: true})
	}
	return s
}

// start starts the process of a router, which reads the store first.
func (s *simulation) start(r *simRouter) {
	ctx, stop := context.WithCancel(context.Background())
	q := &Quarantine{
		Router: fmt.Sprint(r.number), RouterCount: func() int { return len(s.routers) },
		Broadcast: func(news inner.QuarantineNews, limit int) { s.broadcast(r, news, limit) },
		Locate:    func(key string) table.Location { return table.Location{Key: key} },
		Commit:    func(_ context.Context, c table.Commit) (uint64, error) { return s.commit(r, c) },
	}
	s.mu.Lock()
	r.q, r.stop, r.excusedAt = q, stop, time.Now()
	var rows []table.Row
	for _, row := range s.store.rows {
		rows = append(rows, row)
	}
	s.mu.Unlock()
	q.ApplyRows(rows, false)
	go func() { _ = q.Run(ctx) }()
}

// broadcast delivers news to other routers after random delays.
func (s *simulation) broadcast(from *simRouter, news inner.QuarantineNews, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	order := s.rng.Perm(len(s.routers))
	if limit > 0 {
		order = order[:min(limit, len(order))]
	}
	for _, n := range order {
		to := s.routers[n]
		if to == from || to.cut || from.cut {
			continue
		}
		q, copied, delay := to.q, copyNews(news), time.Duration(s.rng.IntN(60))*time.Millisecond
		time.AfterFunc(delay, func() { q.HandleNews(copied) })
	}
}

// copyNews returns a copy that shares no memory, as if it had been encoded.
func copyNews(news inner.QuarantineNews) inner.QuarantineNews {
	if news.Crash == nil {
		return news
	}
	c := *news.Crash
	c.Prompts = nil
	for _, prompt := range news.Crash.Prompts {
		c.Prompts = append(c.Prompts, slices.Clone(prompt))
	}
	news.Crash = &c
	return news
}

// commit applies a commit of one row.
func (s *simulation) commit(r *simRouter, c table.Commit) (uint64, error) {
	time.Sleep(12 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.storeUp || r.cut {
		return 0, table.ErrUnavailable
	}
	row, err := s.store.apply(c)
	if err != nil {
		return 0, err
	}
	for _, to := range s.routers {
		if !to.cut {
			q := to.q
			time.AfterFunc(20*time.Millisecond, func() { q.ApplyRows([]table.Row{row}, false) })
		}
	}
	return row.Version, nil
}

// crash ends the incarnation of an engine, which comes back later.
func (s *simulation) crash(e *simEngine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !e.up {
		return
	}
	e.up = false
	close(e.crashed)
	time.AfterFunc(downtime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		e.up, e.crashed = true, make(chan struct{})
		e.incarnation++
	})
}

// route is what a request meets at its router.
type route struct {
	q           *Quarantine
	engine      *simEngine
	crashed     chan struct{}
	incarnation string
	firstToken  time.Duration
}

// choose returns a random router and a random engine that is up; the engine is nil if none is.
func (s *simulation) choose() (*simRouter, route) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.routers[s.rng.IntN(len(s.routers))]
	out := route{q: r.q, firstToken: time.Duration(60+s.rng.IntN(300)) * time.Millisecond}
	offset := s.rng.IntN(len(s.engines))
	for n := range s.engines {
		if e := s.engines[(n+offset)%len(s.engines)]; e.up {
			out.engine, out.crashed, out.incarnation = e, e.crashed, fmt.Sprint(e.addr, "@", e.incarnation)
			break
		}
	}
	return r, out
}

// request sends one request whose prompt has the shared parts through a random router.
func (s *simulation) request(parts []uint64) {
	r, route := s.choose()
	harm := s.harmOf(parts)
	if b, trial := route.q.Admit(context.Background(), parts); b != nil && !trial {
		if harm == nil {
			s.mu.Lock()
			s.refused++
			s.mu.Unlock()
		}
		return
	}
	if route.engine == nil {
		return
	}
	s.countHarmful(harm, r)
	select {
	case <-route.crashed:
		s.lost(route, parts)
		return
	case <-time.After(route.firstToken):
	}
	began := time.Now()
	if harm != nil {
		s.crash(route.engine)
		s.countCrash(harm)
		s.lost(route, parts)
		return
	}
	select {
	case <-route.crashed:
		s.lost(route, parts)
	case <-time.After(shownAfter):
		route.q.ObserveSound(parts, began)
		s.mu.Lock()
		s.served++
		s.mu.Unlock()
	}
}

// lost reports a lost attempt to the router, as the crash detector would.
func (s *simulation) lost(route route, parts []uint64) {
	time.Sleep(30 * time.Millisecond)
	var prompt []crash.Part
	for n, part := range parts {
		prompt = append(prompt, crash.Part{ID: part, Position: n})
	}
	route.q.ObserveCrash(crash.Crash{Service: "e", Addr: route.engine.addr, Incarnation: route.incarnation, Prompts: [][]crash.Part{prompt}})
}

// harmOf returns the harm of a prompt; nil if it is sound.
func (s *simulation) harmOf(parts []uint64) *harm {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range parts {
		if h := s.harmful[part]; h != nil {
			return h
		}
	}
	return nil
}

func (s *simulation) countCrash(h *harm) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.crashes++
	if h.crashes == 5 {
		h.fifthAt = time.Now()
	}
}

// countHarmful counts a harmful prompt that a router in touch sends too late.
func (s *simulation) countHarmful(h *harm, r *simRouter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if h == nil || h.crashes < 5 || now.Sub(h.fifthAt) < contactTime || r.cut || now.Sub(r.excusedAt) < contactTime {
		return
	}
	if h.late++; h.late > maxLate {
		s.breaches = append(s.breaches, fmt.Sprintf("%d harmful prompts sent later than %v after the fifth crash", h.late, contactTime))
	}
}

// traffic sends the prompts that next returns, perSecond on average, until the simulation ends.
func (s *simulation) traffic(perSecond float64, next func(rng *rand.Rand) []uint64) {
	for {
		s.mu.Lock()
		if s.ended {
			s.mu.Unlock()
			return
		}
		pause := time.Duration(s.rng.ExpFloat64() / perSecond * float64(time.Second))
		parts := next(s.rng)
		s.mu.Unlock()
		go s.request(parts)
		time.Sleep(pause)
	}
}

// soundPrompt returns the parts of a sound prompt: one of a few first parts, then one of many.
func soundPrompt(rng *rand.Rand) []uint64 {
	return []uint64{uint64(1 + rng.IntN(4)), uint64(100 + rng.IntN(250))}
}

// every calls do at random times, every interval on average, until the simulation ends.
func (s *simulation) every(interval time.Duration, do func(rng *rand.Rand)) {
	for {
		s.mu.Lock()
		pause := time.Duration(s.rng.ExpFloat64() * float64(interval))
		s.mu.Unlock()
		time.Sleep(pause)
		s.mu.Lock()
		ended := s.ended
		rng := rand.New(rand.NewPCG(s.rng.Uint64(), 2))
		s.mu.Unlock()
		if ended {
			return
		}
		do(rng)
	}
}

// run starts the routers, runs the simulation with sound traffic for a time and stops it.
func (s *simulation) run(soundPerSecond float64, length time.Duration, extra ...func()) {
	for _, e := range s.engines {
		e.crashed = make(chan struct{})
	}
	for _, r := range s.routers {
		s.start(r)
	}
	go s.traffic(soundPerSecond, soundPrompt)
	for _, f := range extra {
		go f()
	}
	time.Sleep(length)
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	time.Sleep(time.Minute)
	for _, r := range s.routers {
		s.stopRouter(r)
	}
	time.Sleep(time.Hour)
}

// addHarmful starts traffic with a harmful part beside sound ones.
func (s *simulation) addHarmful(part uint64, perSecond float64, companions []uint64) func() {
	s.harmful[part] = &harm{}
	prompt := append(slices.Clone(companions), part)
	return func() {
		time.Sleep(2 * time.Second)
		s.traffic(perSecond, func(rng *rand.Rand) []uint64 {
			if len(companions) == 0 {
				return append(soundPrompt(rng), part)
			}
			return prompt
		})
	}
}

// failTogether lets some engines fail at once, again and again.
func (s *simulation) failTogether(interval time.Duration) func() {
	return func() {
		s.every(interval, func(rng *rand.Rand) {
			n := 1 + rng.IntN(len(s.engines))
			for _, i := range rng.Perm(len(s.engines))[:n] {
				s.crash(s.engines[i])
			}
		})
	}
}

// crashAgain lets one engine crash soon after each start.
func (s *simulation) crashAgain() { s.every(4*time.Second, func(*rand.Rand) { s.crash(s.engines[0]) }) }

// cutAndRestart cuts routers off, restarts them, or restarts all at once.
func (s *simulation) cutAndRestart() {
	s.every(3*time.Second, func(rng *rand.Rand) {
		r := s.routers[rng.IntN(len(s.routers))]
		switch rng.IntN(4) {
		case 0:
			s.setCut(r, true)
			time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
			s.setCut(r, false)
		case 1:
			for _, r := range s.routers {
				s.restart(r)
			}
		default:
			s.restart(r)
		}
	})
}

func (s *simulation) restart(r *simRouter) {
	s.stopRouter(r)
	s.start(r)
}

func (s *simulation) stopRouter(r *simRouter) {
	s.mu.Lock()
	stop := r.stop
	s.mu.Unlock()
	stop()
}

// setCut cuts a router off, or ends that; it then reads the store again.
func (s *simulation) setCut(r *simRouter, cut bool) {
	s.mu.Lock()
	r.cut, r.excusedAt = cut, time.Now()
	q := r.q
	var rows []table.Row
	for _, row := range s.store.rows {
		rows = append(rows, row)
	}
	s.mu.Unlock()
	if !cut {
		q.ApplyRows(rows, false)
	}
}

// check runs one case in virtual time and returns an error if the fleet broke a promise: it sends too
// many harmful prompts, or refuses more sound ones than 5 and one in 500, which is the users' bound
// for refusals in error.
func check(t *testing.T, s *simulation, run func()) error {
	t.Helper()
	var err error
	synctest.Test(t, func(*testing.T) {
		run()
		s.mu.Lock()
		defer s.mu.Unlock()
		switch {
		case len(s.breaches) > 0:
			err = fmt.Errorf("%s", s.breaches[0])
		case s.refused > 5+s.served/500:
			err = fmt.Errorf("%d sound prompts were refused, %d served", s.refused, s.served)
		}
	})
	return err
}

// TestHarmfulPartIsBlocked plays prompts that crash engines against fleets of any size, beside
// cuts and restarts, and with callers that invent parts.
func TestHarmfulPartIsBlocked(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		routers, engines := rapid.IntRange(2, 12).Draw(rt, "routers"), rapid.IntRange(8, 30).Draw(rt, "engines")
		s := newSimulation(rapid.Uint64().Draw(rt, "seed"), routers, engines)
		// At most a third of the engines is down at a time.
		rate := rapid.Float64Range(0.5, float64(engines)/9).Draw(rt, "rate")
		var companions []uint64
		if rapid.Bool().Draw(rt, "same companions") {
			companions = []uint64{2, 150}
		}
		extra := []func(){s.addHarmful(7, rate, companions)}
		if rapid.Bool().Draw(rt, "cuts and restarts") {
			extra = append(extra, s.cutAndRestart)
		}
		if rapid.Bool().Draw(rt, "invented parts") {
			extra = append(extra, func() {
				s.traffic(20, func(*rand.Rand) []uint64 { s.lastPart++; return []uint64{1, s.lastPart} })
			})
		}
		sound := rapid.Float64Range(20, 80).Draw(rt, "sound")
		if err := check(t, s, func() { s.run(sound, 40*time.Second, extra...) }); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestTwoHarmfulPartsAtOnce plays two parts that crash engines at the same time. Sound prompts with
// a part that accompanies one of them are served.
func TestTwoHarmfulPartsAtOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		routers, engines := rapid.IntRange(2, 12).Draw(rt, "routers"), rapid.IntRange(12, 30).Draw(rt, "engines")
		s := newSimulation(rapid.Uint64().Draw(rt, "seed"), routers, engines)
		first := rapid.Float64Range(0.5, float64(engines)/20).Draw(rt, "first rate")
		second := rapid.Float64Range(0.5, float64(engines)/20).Draw(rt, "second rate")
		sound := rapid.Float64Range(40, 80).Draw(rt, "sound")
		err := check(t, s, func() {
			s.run(sound, 40*time.Second, s.addHarmful(7, first, nil), s.addHarmful(8, second, []uint64{2, 151}))
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// TestFailingMachinesBlockNothing plays engines that fail together, lose power together or crash
// again and again, whatever the prompts hold.
func TestFailingMachinesBlockNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		routers, engines := rapid.IntRange(2, 12).Draw(rt, "routers"), rapid.IntRange(6, 30).Draw(rt, "engines")
		s := newSimulation(rapid.Uint64().Draw(rt, "seed"), routers, engines)
		extra := []func(){s.failTogether(rapid.SampledFrom([]time.Duration{10 * time.Second, 20 * time.Second}).Draw(rt, "interval"))}
		if rapid.Bool().Draw(rt, "one crashes again") {
			extra = append(extra, s.crashAgain)
		}
		if rapid.Bool().Draw(rt, "restarts") {
			extra = append(extra, s.cutAndRestart)
		}
		sound := rapid.Float64Range(2, 80).Draw(rt, "sound")
		if err := check(t, s, func() { s.run(sound, 90*time.Second, extra...) }); err != nil {
			rt.Fatal(err)
		}
	})
}
