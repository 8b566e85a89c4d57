package placement

import (
	"math"
	"sync"
	"time"

	"rosevalve/internal/target/balance"
	"rosevalve/internal/target/health"
	"rosevalve/internal/target/roster"
	"rosevalve/internal/target/upstream"
)

const (
	// failureWeight is how much one attempt counts in the share of failures.
	failureWeight = 0.25
	// failureHalfLife is the time after which half of a bad reputation is forgotten.
	failureHalfLife = 3 * time.Second
	// maxCachedParts bounds the prompt parts that are remembered for one instance.
	maxCachedParts = 2048
)

// instance is one lifetime of a target with what is known of it.
type instance struct {
	roster.Instance
	pool     *upstream.Pool
	distance *distance // to its failure domain
	hash     uint64
	learner  *learner                     // of its service
	onHealth func(Health)                 // nil if nobody listens
	onNotice func(Notice)                 // nil if nobody listens
	onPace   func(service string, p Pace) // nil if nobody listens

	mu       sync.Mutex // guards the fields below
	running  int        // attempts of this router
	reading  int64      // prompt tokens of attempts that have not begun to answer
	tokens   int64      // that the running attempts occupy at most
	failing  float64    // share of failures of late, at the time judged
	judged   time.Time
	breaker  health.Breaker
	cached   map[uint64]time.Time // prompt parts by when they were last used there
	told     Report               // the last report, at toldAt
	toldAt   time.Time
	leaving  bool      // said by an answer; holds for the rest of the lifetime
	paused   time.Time // until when nothing is sent
	vanished time.Time // when it was gone from the roster; zero while it is listed
}

func newInstance(i roster.Instance, p *Placement, l *learner) *instance {
	d := p.distanceTo(i.FailureDomain)
	out := &instance{
		Instance: i,
		distance: d,
		hash:     balance.Hash(i.ID),
		learner:  l,
		onHealth: p.OnHealth,
		onNotice: p.OnNotice,
		onPace:   p.OnPace,
		cached:   make(map[uint64]time.Time),
	}
	out.pool = &upstream.Pool{Addr: i.Addr, Dial: d.dialer(p.Dial), Identify: p.Identify, OnNotice: out.heed}
	return out
}

// view is what the choice needs of an instance.
type view struct {
	running  float64
	reading  float64
	tokens   int64
	failing  float64
	occupied float64
	open     bool // may get a request
	missing  int64
	trip     time.Duration
}

// look describes the instance for a request.
func (i *instance) look(d Demand, pace Pace, now time.Time) view {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.breaker.ProbeDue(now) {
		// The next request is the probe.
		i.breaker.Probed(now, true)
	}
	running, reading := i.load(now, pace.Unread)
	return view{
		running:  running,
		reading:  reading,
		tokens:   i.tokens,
		failing:  i.failingAt(now),
		occupied: i.occupied(now),
		open:     i.breaker.Allows(i.running),
		missing:  i.missing(d),
		trip:     i.distance.length(),
	}
}

// missing returns how many of the prompt's shared tokens the instance is not known to
// hold; a part counts only if all parts before it are held. The caller holds mu.
func (i *instance) missing(d Demand) int64 {
	var missing int64
	held := true
	for _, part := range d.shared() {
		if held {
			_, held = i.cached[part.ID]
		}
		if !held {
			missing += part.Tokens
		}
	}
	return missing
}

// failingAt returns the share of failures, as it is forgotten over time. The caller holds mu.
func (i *instance) failingAt(now time.Time) float64 {
	if i.failing == 0 {
		return 0
	}
	return i.failing * math.Exp2(-float64(now.Sub(i.judged))/float64(failureHalfLife))
}

// begin counts an attempt.
func (i *instance) begin(s *Seat, d Demand, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	s.reason = i.reason(d, now)
	s.reading = d.Input - d.sharedTokens() + s.reason.Missing
	s.tokens = d.Input + d.MaxOutput
	s.began = now
	s.ahead = s.reason.Reading + float64(s.reading)
	i.running++
	i.reading += s.reading
	i.tokens += s.tokens
	for _, part := range d.shared() {
		i.cached[part.ID] = now
	}
	if len(i.cached) > maxCachedParts {
		i.forgetOldest()
	}
}

// forgetOldest drops the part that was not used for longest. The caller holds mu.
func (i *instance) forgetOldest() {
	var oldest uint64
	var at time.Time
	for id, used := range i.cached {
		if at.IsZero() || used.Before(at) {
			oldest, at = id, used
		}
	}
	delete(i.cached, oldest)
}

// answering counts that an attempt has begun to answer.
func (i *instance) answering(s *Seat, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	pace, changed := i.learner.began(s.ahead, float64(s.reading), now.Sub(s.began)-i.distance.length())
	if changed && i.onPace != nil {
		i.onPace(i.Service, pace)
	}
	i.reading -= s.reading
	s.reading = 0
}

// end counts the end of an attempt and what it shows.
func (i *instance) end(s *Seat, o Outcome, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.running--
	i.reading -= s.reading
	i.tokens -= s.tokens
	defer i.tellHealth(i.breaker.State(), now)
	switch o {
	case Unjudged:
		return
	case Served:
		i.learner.ended(now.Sub(s.began))
		i.breaker.Succeeded()
		i.judge(0, now)
	case Declined:
		i.judge(0, now)
	case Failed:
		i.breaker.Failed(now, false)
		i.judge(1, now)
	case Unreachable:
		i.breaker.Failed(now, true)
		i.judge(1, now)
		clear(i.cached)
	}
}

// judge takes one attempt into the share of failures. The caller holds mu.
func (i *instance) judge(failed float64, now time.Time) {
	i.failing = (1-failureWeight)*i.failingAt(now) + failureWeight*failed
	i.judged = now
}
