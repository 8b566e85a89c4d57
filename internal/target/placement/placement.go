package placement

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/balance"
	"rosevalve/internal/target/roster"
	"rosevalve/internal/target/runner"
	"rosevalve/internal/target/upstream"
	"rosevalve/internal/target/warmup"
)

// ErrNoInstance reports that no instance of the service can be sent the request.
var ErrNoInstance = errors.New("service has no instance for the request")

// ErrLeft reports that an instance has left since it was chosen.
var ErrLeft = errors.New("instance has left since it was chosen")

//go:generate ../../../bin/stringer -type=Outcome -linecomment

// Outcome classifies the end of an attempt by what it shows about the instance.
type Outcome int

// The outcomes of attempts.
const (
	// Served attempts were answered successfully.
	Served Outcome = iota // served
	// Declined attempts were refused by an instance that is full or leaving.
	Declined // declined
	// Failed attempts got an invalid, late or incomplete answer.
	Failed // failed
	// Unreachable attempts could not connect.
	Unreachable // unreachable
	// Inconclusive attempts show nothing about the instance, such as those whose caller
	// disconnected.
	Inconclusive // unjudged
)

// Part is a section of a prompt; requests with the same first parts can share cached
// prefill results.
type Part struct {
	// ID identifies the text of the part.
	ID uint64
	// Tokens is the length of the part in tokens.
	Tokens int64
}

// Requirements describes a request to the choice of its instance.
type Requirements struct {
	// Parts are the parts of the prompt in order; the last one is not shared with other
	// requests.
	Parts []Part
	// InputTokens is the length of the prompt and MaxOutputTokens bounds the answer, in tokens.
	InputTokens, MaxOutputTokens int64
	// ExpectedOutputTokens is the estimated length of the answer.
	ExpectedOutputTokens int64
	// EventGapGoal is the goal for the longest pause between events of the answer; 0 for none.
	EventGapGoal time.Duration
	// CacheTokens is the memory of one instance in tokens; 0 if tokens do not bound it.
	CacheTokens int64
	// LatencyGoal is the latency goal for the answer, or for its first event; 0 for none.
	LatencyGoal time.Duration
	// AtMostOnce is set for requests that may run only once. They are sent on a new connection
	// or on one on which the instance has just answered.
	AtMostOnce bool
	// RequireReport is set if the instance must report its load, and so show that it is alive,
	// before the request is sent.
	RequireReport bool
	// Allowed reports whether an instance in a failure domain may run the request; nil if all may.
	Allowed func(domain string) bool
	// Exclude holds the IDs of the instances that the request was sent to before.
	Exclude []string
}

// sharedParts returns the parts that other requests may have in common with this one.
func (r Requirements) sharedParts() []Part {
	if len(r.Parts) == 0 {
		return nil
	}
	return r.Parts[:len(r.Parts)-1]
}

// sharedTokens returns the total length of the shared parts.
func (r Requirements) sharedTokens() int64 {
	var n int64
	for _, part := range r.sharedParts() {
		n += part.Tokens
	}
	return n
}

// affinityKey returns the key by which the instances are ranked for the request: the ID of
// its last shared part. The bool is false if it has no shared part.
func (r Requirements) affinityKey() (uint64, bool) {
	shared := r.sharedParts()
	if len(shared) == 0 {
		return 0, false
	}
	return shared[len(shared)-1].ID, true
}

// Placement holds the instances of all services and chooses among them.
type Placement struct {
	// Dial opens a connection to an instance.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// ParseHeader returns the identity and the notice in the header of an answer.
	ParseHeader func(h *fasthttp.ResponseHeader) upstream.ResponseInfo
	// FetchReport requests the load report of an instance on conn, which stays open. The
	// report must arrive before the time by.
	FetchReport func(ctx context.Context, conn *upstream.Conn, by time.Time) (Report, error)
	// OnHealthChange is called when an instance is ejected or readmitted; it must not block.
	OnHealthChange func(h HealthChange)
	// OnNotice is called when an instance announces that it leaves or pauses; it must not
	// block.
	OnNotice func(n Notice)
	// OnEngineSpeed is called when the engine speed of a service has changed considerably; it
	// must not block.
	OnEngineSpeed func(service string, s EngineSpeed)
	// CompareSpeeds is set if instances of one service may differ in speed, and are chosen by the
	// speed that their own answers have shown.
	CompareSpeeds bool
	// Evacuated reports whether the operator has had a failure domain evacuated, so that its instances receive nothing;
	// nil if none is. It is asked for each choice.
	Evacuated func(domain string) bool
	// Warmup limits the requests to cold instances; nil sets no limit.
	Warmup *warmup.Limiter
	// Rand returns a random number in [0, n); nil selects math/rand/v2.
	Rand func(n int) int

	dialTimes dialTimes // of all instances, since what they share is the router's own link and processor

	mu         sync.RWMutex // guards the fields below
	services   map[string]*service
	unlisted   map[string]*instance       // by ID; no longer in the roster, but with a notice in force
	estimators map[string]*speedEstimator // by service, including those without instances
	rtts       map[string]*rttEstimator   // by failure domain
}

// service is the group of instances that serve one service.
type service struct {
	instances []*instance // sorted by hash; the first ones form the long lane
	lanes     *lanes
	estimator *speedEstimator // kept while the service has no instances
}

// Slot is the reservation of an instance for one attempt. End must be called on it.
type Slot struct {
	instance       *instance
	evacuated      func(i *instance) bool
	conn           *upstream.Conn // connection from the report request, not yet used; nil if there is none
	state          InstanceState
	pendingPrefill int64   // uncached prompt tokens of the attempt; 0 once it is answering
	prefillAhead   float64 // prompt tokens to prefill before its answer, including its own
	reservedTokens int64   // upper bound of prompt and answer
	startedAt      time.Time
	connectedAt    time.Time // when its connection was open; zero before that
	ended          bool
}

// ID returns the ID of the instance.
func (s *Slot) ID() string { return s.instance.ID }

// Incarnation returns the ID and the start time of the instance, which change when it restarts.
func (s *Slot) Incarnation() string {
	return fmt.Sprintf("%s@%d", s.instance.ID, s.instance.StartedAt.UnixMilli())
}

// Addr returns the IP address and port of the instance.
func (s *Slot) Addr() string { return s.instance.Addr }

// InstanceState returns the state of the instance when it was chosen.
func (s *Slot) InstanceState() InstanceState { return s.state }

// Conn returns a connection to the instance: the one from its report request if that is
// still open, or else one from the connection pool, which is always new if fresh is set.
//
// The error is a *runner.Error which states that nothing was sent. It wraps ErrLeft if the instance has left while the
// request waited, ErrEvacuated if its failure domain was evacuated, and ErrCold if it is cold and may get no request of this
// router now. The connection must be used at once.
func (s *Slot) Conn(ctx context.Context, fresh bool) (*upstream.Conn, error) {
	conn := s.conn
	s.conn = nil
	if err := s.checkEvacuation(); err != nil {
		if conn != nil {
			conn.Release()
		}
		return nil, err
	}
	if conn == nil || !conn.Usable() {
		var err error
		if conn, err = s.instance.pool.Acquire(ctx, fresh); err != nil {
			return nil, err
		}
	}
	if s.instance.hasLeft() {
		conn.Release()
		s.instance.pool.CloseIdle()
		return nil, &runner.Error{RunState: answer.NotRun, Err: ErrLeft}
	}
	if err := s.checkEvacuation(); err != nil {
		conn.Release()
		return nil, err
	}
	if !s.instance.takeColdShare(time.Now()) {
		conn.Release()
		return nil, &runner.Error{RunState: answer.NotRun, Err: ErrCold}
	}
	s.connectedAt = time.Now()
	return conn, nil
}

// AnswerStarted records that the instance has begun to answer.
func (s *Slot) AnswerStarted() { s.instance.answerStarted(s, time.Now()) }

// ObserveStream records the number of tokens of the answer after its first event, and the time
// from the first to the last event.
func (s *Slot) ObserveStream(tokens int64, took time.Duration) {
	s.instance.observeStream(tokens, took)
}

// End records the outcome of the attempt and releases the slot. Later calls have no effect.
func (s *Slot) End(o Outcome) {
	if s.ended {
		return
	}
	s.ended = true
	s.instance.end(s, o, time.Now())
}

// Update replaces the roster. The state of an instance is kept as long as its incarnation
// and its failure domain stay the same.
func (p *Placement) Update(r *roster.Roster) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	known := make(map[string]*instance)
	maps.Copy(known, p.unlisted)
	for _, s := range p.services {
		for _, i := range s.instances {
			known[i.ID] = i
		}
	}
	old := p.services
	p.services = make(map[string]*service)
	for _, i := range r.Instances() {
		state, ok := known[i.ID]
		if !ok || !state.SameIncarnation(i) || state.FailureDomain != i.FailureDomain {
			state = newInstance(i, p, p.estimatorFor(i.Service))
			if !i.TellsCold && old != nil {
				// It is new, and may have started just now.
				p.Warmup.Presume(i.Service, i.ID, now)
			}
		} else {
			delete(known, i.ID)
			state.markListed()
		}
		p.Warmup.Announced(i.Service, i.ID, i.ColdUntil, now)
		s := p.services[i.Service]
		if s == nil {
			s = &service{lanes: &lanes{}, estimator: p.estimatorFor(i.Service)}
			if previous, ok := old[i.Service]; ok {
				s.lanes = previous.lanes
			}
			p.services[i.Service] = s
		}
		s.instances = append(s.instances, state)
	}
	for _, s := range p.services {
		s.instances = sortByHash(s.instances)
	}
	maps.DeleteFunc(known, func(_ string, i *instance) bool { return !i.markUnlisted(now) })
	p.unlisted = known
}

// estimatorFor returns the speed estimator of a service, creating it on first use. The
// caller holds mu.
func (p *Placement) estimatorFor(service string) *speedEstimator {
	e, ok := p.estimators[service]
	if !ok {
		if p.estimators == nil {
			p.estimators = make(map[string]*speedEstimator)
		}
		e = &speedEstimator{}
		p.estimators[service] = e
	}
	return e
}

// Prune closes idle connections that are too old to be used again.
func (p *Placement) Prune(now time.Time) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, s := range p.services {
		for _, i := range s.instances {
			i.pool.CloseExpired(now)
		}
	}
}

// Choose selects an instance of the service for the request and reserves a slot there.
//
// The error is ErrNoInstance, a *PausedError if all instances left for the request have
// paused, or a *ColdError if some of them are cold. It wraps ErrEvacuated if all that are left are in
// evacuated failure domains, or is ErrNotAllowed if all that are left may not run the request.
func (p *Placement) Choose(ctx context.Context, service string, r Requirements) (*Slot, error) {
	p.mu.RLock()
	s := p.services[service]
	p.mu.RUnlock()
	if s == nil {
		return nil, ErrNoInstance
	}
	s.lanes.record(r, s.estimator.speed(), p.usable(s.instances, r), time.Now())
	slot := &Slot{evacuated: p.evacuated}
	if r.RequireReport && p.FetchReport != nil {
		slot.instance, slot.conn = p.chooseByReport(ctx, s, r)
	} else {
		slot.instance = p.choose(s, r, time.Now())
	}
	if slot.instance == nil {
		return nil, p.noInstanceError(s, r, time.Now())
	}
	slot.instance.begin(slot, r, time.Now())
	return slot, nil
}

// EngineSpeeds returns the engine speed of each service that has instances.
func (p *Placement) EngineSpeeds() map[string]EngineSpeed {
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := make(map[string]EngineSpeed, len(p.services))
	for name, s := range p.services {
		out[name] = s.estimator.speed()
	}
	return out
}

// intN returns a random number in [0, n).
func (p *Placement) intN(n int) int {
	if p.Rand == nil {
		return rand.IntN(n)
	}
	return p.Rand(n)
}

// rank returns the rendezvous hashing score of an instance for a key. The instance with
// the highest score is preferred.
func rank(key uint64, i *instance) uint64 { return balance.Mix(key, i.hash) }
