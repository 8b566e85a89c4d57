package placement

import (
	"math"
	"sync"
	"time"

	"rosevalve/internal/target/balance"
	"rosevalve/internal/target/health"
	"rosevalve/internal/target/roster"
	"rosevalve/internal/target/upstream"
	"rosevalve/internal/target/warmup"
)

const (
	// failureWeight is the weight of one attempt in the moving average of the failure rate.
	failureWeight = 0.25
	// failureHalfLife is the half-life of the failure rate while no attempts end.
	failureHalfLife = 3 * time.Second
	// maxCachedParts bounds the number of prompt parts tracked for one instance.
	maxCachedParts = 2048
)

// instance is one incarnation of a target, with this router's connections to it and the
// state that its attempts there have shown.
type instance struct {
	roster.Instance
	pool          *upstream.Pool
	rtt           *rttEstimator                       // of its failure domain
	hash          uint64                              // of the ID, for ranking
	estimator     *speedEstimator                     // shared by all instances of the service
	warmup        *warmup.Limiter                     // may be nil
	onHealth      func(HealthChange)                  // may be nil
	onNotice      func(Notice)                        // may be nil
	onEngineSpeed func(service string, s EngineSpeed) // may be nil
	compareSpeeds bool                                // as Placement.CompareSpeeds

	mu              sync.Mutex // guards the fields below
	running         int        // attempts of this router that have not ended
	pendingPrefill  int64      // prompt tokens still to be prefilled, of attempts without an answer yet
	reservedTokens  int64      // upper bound of the tokens that the running attempts occupy
	failureRate     float64    // moving average as of failureRateTime
	failureRateTime time.Time
	breaker         health.Breaker
	cached          map[uint64]time.Time // prompt parts presumably in its cache, with the time of their last use
	lastReport      Report               // most recent load report, received at lastReportAt
	lastReportAt    time.Time
	leaving         bool      // announced in an answer; final for this incarnation
	pausedUntil     time.Time // no request is sent before this time
	unlistedSince   time.Time // when it disappeared from the roster; zero while it is listed
	delay           relativeDelay
}

// newInstance returns the state of an instance that has not been used yet. The caller
// holds the mutex of p.
func newInstance(i roster.Instance, p *Placement, e *speedEstimator) *instance {
	rtt := p.rttTo(i.FailureDomain)
	out := &instance{
		Instance:      i,
		rtt:           rtt,
		hash:          balance.Hash(i.ID),
		estimator:     e,
		warmup:        p.Warmup,
		onHealth:      p.OnHealthChange,
		onNotice:      p.OnNotice,
		onEngineSpeed: p.OnEngineSpeed,
		compareSpeeds: p.CompareSpeeds,
		cached:        make(map[uint64]time.Time),
	}
	out.pool = &upstream.Pool{
		Addr: i.Addr, Dial: p.measuredDial(rtt), DialTimeout: p.dialTimes.timeout,
		ParseHeader: p.ParseHeader, OnNotice: out.handleNotice,
	}
	return out
}

// snapshot is the state of an instance that its cost is computed from, at one time and for
// one request.
type snapshot struct {
	running        float64 // requests running there, of all routers as far as reported
	pendingPrefill float64 // prompt tokens still to be prefilled there, likewise
	reservedTokens int64   // upper bound of the tokens of this router's attempts
	failureRate    float64 // decayed
	occupied       float64 // requests running or waiting there
	admits         bool    // the breaker allows another request
	uncached       int64   // shared prompt tokens that are not known to be cached there
	rtt            time.Duration
	relativeDelay  float64 // of its answers, compared with the mean of the service
}

// snapshot returns the state of the instance for a request. It half-opens the breaker if a
// probe is due.
func (i *instance) snapshot(r Requirements, speed EngineSpeed, now time.Time) snapshot {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.breaker.ProbeDue(now) {
		// The next request serves as the probe.
		i.breaker.Probed(now, true)
	}
	running, pendingPrefill := i.load(now, speed.PrefillTokens)
	return snapshot{
		running:        running,
		pendingPrefill: pendingPrefill,
		reservedTokens: i.reservedTokens,
		failureRate:    i.failureRateAt(now),
		occupied:       i.occupied(now),
		admits:         i.breaker.Allows(i.running),
		uncached:       i.uncachedTokens(r),
		rtt:            i.rtt.value(),
		relativeDelay:  i.relativeDelay(),
	}
}

// relativeDelay returns how long the instance takes for its work compared with the mean of its
// service, or 1 if speeds are not compared. The caller holds mu.
func (i *instance) relativeDelay() float64 {
	if !i.compareSpeeds {
		return 1
	}
	return i.delay.value()
}

// uncachedTokens returns the number of shared prompt tokens that are not known to be in
// the instance's cache. A part counts as cached only if all parts before it are. The
// caller holds mu.
func (i *instance) uncachedTokens(r Requirements) int64 {
	var uncached int64
	prefixCached := true
	for _, part := range r.sharedParts() {
		if prefixCached {
			_, prefixCached = i.cached[part.ID]
		}
		if !prefixCached {
			uncached += part.Tokens
		}
	}
	return uncached
}

// failureRateAt returns the failure rate decayed to the given time. The caller holds mu.
func (i *instance) failureRateAt(now time.Time) float64 {
	if i.failureRate == 0 {
		return 0
	}
	return i.failureRate * math.Exp2(-float64(now.Sub(i.failureRateTime))/float64(failureHalfLife))
}

// begin adds a new attempt to the load of the instance and records in s what it added.
func (i *instance) begin(s *Slot, r Requirements, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	s.state = i.state(r, now)
	s.pendingPrefill = r.InputTokens - r.sharedTokens() + s.state.UncachedTokens
	s.reservedTokens = r.InputTokens + r.MaxOutputTokens
	s.startedAt = now
	s.prefillAhead = s.state.PendingPrefill + float64(s.pendingPrefill)
	i.running++
	i.pendingPrefill += s.pendingPrefill
	i.reservedTokens += s.reservedTokens
	for _, part := range r.sharedParts() {
		i.cached[part.ID] = now
	}
	if len(i.cached) > maxCachedParts {
		i.evictOldestPart()
	}
}

// evictOldestPart drops the least recently used prompt part. The caller holds mu.
func (i *instance) evictOldestPart() {
	var oldest uint64
	var oldestUse time.Time
	for id, used := range i.cached {
		if oldestUse.IsZero() || used.Before(oldestUse) {
			oldest, oldestUse = id, used
		}
	}
	delete(i.cached, oldest)
}

// answerStarted removes the prompt of an attempt from the pending prefill and updates the
// engine speed of the service.
func (i *instance) answerStarted(s *Slot, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	took := now.Sub(s.startedAt) - i.rtt.value()
	if i.compareSpeeds {
		before := i.estimator.speed()
		i.delay.observe(took, before.BaseLatency+before.prefillTime(s.prefillAhead))
	}
	speed, changed := i.estimator.observeFirstEvent(s.prefillAhead, float64(s.pendingPrefill), took)
	if changed && i.onEngineSpeed != nil {
		i.onEngineSpeed(i.Service, speed)
	}
	i.pendingPrefill -= s.pendingPrefill
	s.pendingPrefill = 0
}

// observeStream updates the engine speed of the service and the instance's own with the time that
// a number of tokens of an answer took after its first event.
func (i *instance) observeStream(tokens int64, took time.Duration) {
	if i.compareSpeeds && tokens > 0 {
		i.mu.Lock()
		i.delay.observe(took, scale(i.estimator.speed().TokenInterval, float64(tokens)))
		i.mu.Unlock()
	}
	i.estimator.observeStream(tokens, took)
}

// end removes an attempt from the load and updates the breaker, the failure rate and the
// cached parts by its outcome.
func (i *instance) end(s *Slot, o Outcome, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.running--
	i.pendingPrefill -= s.pendingPrefill
	i.reservedTokens -= s.reservedTokens
	defer i.notifyHealth(i.breaker.State(), now)
	switch o {
	case Inconclusive:
		return
	case Served:
		i.estimator.observeAttempt(now.Sub(s.startedAt))
		i.warmup.Served(i.Service, i.ID, s.connectedAt, now)
		i.breaker.Succeeded()
		i.updateFailureRate(0, now)
	case Declined:
		i.updateFailureRate(0, now)
	case Failed:
		i.breaker.Failed(now, false)
		i.updateFailureRate(1, now)
	case Unreachable:
		i.breaker.Failed(now, true)
		i.updateFailureRate(1, now)
		clear(i.cached)
		i.warmup.Presume(i.Service, i.ID, now)
	}
}

// updateFailureRate adds one attempt to the moving average; failed is 1 for a failure and
// 0 otherwise. The caller holds mu.
func (i *instance) updateFailureRate(failed float64, now time.Time) {
	i.failureRate = (1-failureWeight)*i.failureRateAt(now) + failureWeight*failed
	i.failureRateTime = now
}
