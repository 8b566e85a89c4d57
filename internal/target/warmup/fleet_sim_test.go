package warmup

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	step        = 100 * time.Millisecond // between two requests of one router
	observeStep = time.Second            // between two observations
	learnTime   = 3 * time.Second        // until routers know of a new one
	loseTime    = 4 * time.Second        // until routers drop one that is away
	service     = "writer"
	instance    = "i-1"
	coldRate    = 6.4
)

var (
	testBounds = Bounds{Overshoot: 1.5, Slack: 5}
	testRate   = Rate{PerSecond: coldRate, ColdTime: 3 * time.Second}
	began      = time.Unix(1000, 0)
)

// router is one router of the simulation.
type router struct {
	addr    string
	limiter *Limiter
	startAt time.Time // of its process
	downAt  time.Time // zero while it runs
	frozen  bool
	wokeAt  time.Time // after a freeze
	stale   []string  // its view then, which it keeps for a while
	side    int       // of the cut; routers reach those of their side
	movedAt time.Time // when its side changed
}

// sim is a fleet of routers, each of which has as many requests for one cold target as it may send.
type sim struct {
	now     time.Time
	routers []*router
	sent    []time.Time
	// prepare changes the limiter of a router that starts; nil changes nothing.
	prepare func(l *Limiter)
	views   map[int][]string // by side, as seen now
}

// newSim returns a fleet of n routers that know each other.
func newSim(n int, prepare func(l *Limiter)) *sim {
	s := &sim{now: began, prepare: prepare}
	for range n {
		s.add(0)
	}
	s.run(settleTime + 5*time.Second)
	s.sent = nil
	return s
}

// addr returns the address of the nth router.
func addr(n int) string { return fmt.Sprintf("10.0.%d.%d:7", n>>8, n&255) }

// add starts a new router.
func (s *sim) add(side int) *router {
	n := len(s.routers)
	s.views = make(map[int][]string)
	r := &router{addr: addr(n), side: side}
	s.routers = append(s.routers, r)
	s.start(r)
	return r
}

// start starts the process of a router, which remembers nothing.
func (s *sim) start(r *router) {
	r.startAt, r.downAt = s.now, time.Time{}
	r.limiter = &Limiter{
		Self:    r.addr,
		Routers: func() []string { return s.view(r) },
		Seeds:   func() []string { return []string{addr(0), addr(1), addr(2)} },
		Rate:    func(string) Rate { return testRate },
		Bounds:  func() Bounds { return testBounds },
	}
	if s.prepare != nil {
		s.prepare(r.limiter)
	}
	s.observe(r)
}

// observe passes the view to a router, and that the target is cold.
func (s *sim) observe(r *router) {
	r.limiter.Observe(s.now)
	r.limiter.Announced(service, instance, s.now.Add(2*time.Second), s.now)
}

// view returns the routers that one knows now: itself only until learnTime after its start.
func (s *sim) view(r *router) []string {
	if s.now.Sub(r.startAt) < learnTime {
		return []string{r.addr}
	}
	if s.now.Sub(r.wokeAt) < learnTime {
		return r.stale
	}
	out, ok := s.views[r.side]
	if !ok {
		for _, other := range s.routers {
			if s.seenFrom(other, r.side) {
				out = append(out, other.addr)
			}
		}
		slices.Sort(out)
		s.views[r.side] = out
	}
	return out
}

// seenFrom reports whether the routers of a side have a router in their view.
func (s *sim) seenFrom(r *router, side int) bool {
	if s.now.Sub(r.startAt) < learnTime || !r.downAt.IsZero() && s.now.Sub(r.downAt) > loseTime {
		return false
	}
	return r.side == side || s.now.Sub(r.movedAt) < loseTime
}

// run lets time pass, while all routers send what they may.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		observes := s.now.Sub(began)%observeStep == 0
		if observes {
			s.views = make(map[int][]string)
		}
		for _, r := range s.routers {
			if r.frozen || !r.downAt.IsZero() {
				continue
			}
			if observes {
				s.observe(r)
			}
			if r.limiter.Take(service, instance, s.now) {
				s.sent = append(s.sent, s.now)
			}
		}
	}
}

// cut divides the routers at random into sides that do not reach each other.
func (s *sim) cut(sides int, random *rand.Rand) {
	for _, r := range s.routers {
		r.side, r.movedAt = random.IntN(sides), s.now
	}
}

// heal ends the cut.
func (s *sim) heal() {
	for _, r := range s.routers {
		r.side, r.movedAt = 0, s.now
	}
}

// some returns a share of the routers that run.
func (s *sim) some(share float64, random *rand.Rand) []*router {
	var out []*router
	for _, r := range s.routers {
		if r.downAt.IsZero() && random.Float64() < share {
			out = append(out, r)
		}
	}
	return out
}

// freeze stops the processes of routers.
func (s *sim) freeze(routers []*router) {
	for _, r := range routers {
		r.frozen, r.stale = true, s.view(r)
	}
}

// wake lets routers run on. They have learnt nothing meanwhile, and act at once.
func (s *sim) wake(routers []*router) {
	for _, r := range routers {
		r.frozen, r.wokeAt = false, s.now
		r.limiter.Announced(service, instance, s.now.Add(2*time.Second), s.now)
	}
}

// kill ends the processes of routers.
func (s *sim) kill(routers []*router) {
	for _, r := range routers {
		r.downAt = s.now
	}
}

// most returns the largest number of requests in any second.
func (s *sim) most() int {
	most, first := 0, 0
	for n, at := range s.sent {
		for at.Sub(s.sent[first]) >= time.Second {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

// check returns an error if more requests were sent in any second than the bound allows.
func (s *sim) check() error {
	bound := coldRate*testBounds.Overshoot + testBounds.Slack
	if n := s.most(); float64(n) > bound {
		return fmt.Errorf("%d requests in one second, allowed are %.1f", n, bound)
	}
	return nil
}
