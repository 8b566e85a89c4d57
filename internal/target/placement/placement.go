package placement

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/target/balance"
	"rosevalve/internal/target/roster"
	"rosevalve/internal/target/upstream"
)

// ErrNoInstance reports that the service has no instance that may get the request.
var ErrNoInstance = errors.New("service has no instance for the request")

//go:generate ../../../bin/stringer -type=Outcome -linecomment

// Outcome is what an attempt shows about its instance.
type Outcome int

// The outcomes of attempts.
const (
	// Served attempts were answered well.
	Served Outcome = iota // served
	// Declined attempts were refused by an instance that is full or leaves.
	Declined // declined
	// Failed attempts were answered badly, too late or not as a whole.
	Failed // failed
	// Unreachable attempts got no connection.
	Unreachable // unreachable
	// Unjudged attempts show nothing, such as those whose caller left.
	Unjudged // unjudged
)

// Part is one part of a prompt.
type Part struct {
	// ID names the part's text.
	ID uint64
	// Tokens is its length.
	Tokens int64
}

// Demand is what a request asks of an instance.
type Demand struct {
	// Parts are the prompt's parts; the last is the request's own.
	Parts []Part
	// Input is the length of the prompt and MaxOutput bounds the answer, in tokens.
	Input, MaxOutput int64
	// LikelyOutput is the estimated length of the answer.
	LikelyOutput int64
	// EventGap is the longest pause between the events of the answer that is aimed at.
	EventGap time.Duration
	// CacheTokens is the memory of one instance; 0 if it is not bounded by tokens.
	CacheTokens int64
	// Goal is the time to the answer, or to its first event, that is aimed at; 0 for none.
	Goal time.Duration
	// Once is set for requests that may run only once. They go on a new connection or on
	// one on which the instance has just answered.
	Once bool
	// Careful requests ask an instance whether it lives and how it is before they are sent.
	Careful bool
	// Exclude names the instances that the request was sent to before.
	Exclude []string
}

// shared returns the parts that other requests may have in common with this one.
func (d Demand) shared() []Part {
	if len(d.Parts) == 0 {
		return nil
	}
	return d.Parts[:len(d.Parts)-1]
}

func (d Demand) sharedTokens() int64 {
	var n int64
	for _, part := range d.shared() {
		n += part.Tokens
	}
	return n
}

// key returns what the request's own order of instances follows: the deepest shared part.
func (d Demand) key() (uint64, bool) {
	shared := d.shared()
	if len(shared) == 0 {
		return 0, false
	}
	return shared[len(shared)-1].ID, true
}

// Placement holds the instances by service.
type Placement struct {
	// Dial opens a connection to an instance.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Identify reads what the header of an answer says.
	Identify func(h *fasthttp.ResponseHeader) upstream.Identity
	// Ask asks an instance for its report on the line, which stays open.
	Ask func(ctx context.Context, line *upstream.Line, by time.Time) (Report, error)
	// OnHealth is told when an instance is ejected or readmitted; it must not block.
	OnHealth func(h Health)
	// OnNotice is told when an instance is found to leave or to pause; it must not block.
	OnNotice func(n Notice)
	// OnPace is told of a service's pace when it has changed by much; it must not block.
	OnPace func(service string, p Pace)
	// Rand returns a random number below n; nil stands for the library's.
	Rand func(n int) int

	mu        sync.RWMutex // guards the fields below
	services  map[string]*service
	unlisted  map[string]*instance // by ID, gone from the roster with a notice in force
	learners  map[string]*learner  // by service, also of those that have no instance now
	distances map[string]*distance // by failure domain
}

// service is a group of instances.
type service struct {
	instances []*instance // in the order of their lanes
	lanes     *lanes
	learner   *learner // of the service, whatever the roster says
}

// Seat is one attempt's place at an instance. It must be ended once.
type Seat struct {
	instance *instance
	line     *upstream.Line // on which the instance has just answered, or nil
	reason   Reason
	reading  int64   // prompt tokens of its own that are not read yet
	ahead    float64 // prompt tokens to read before its answer, its own included
	tokens   int64
	began    time.Time
	ended    bool
}

// ID returns the instance's id.
func (s *Seat) ID() string { return s.instance.ID }

// Addr returns the instance's address.
func (s *Seat) Addr() string { return s.instance.Addr }

// Reason returns what was known of the instance when it was chosen.
func (s *Seat) Reason() Reason { return s.reason }

// Line returns a connection to the instance, which is a new one if fresh is set, unless
// the instance has just answered on another.
//
// The error is a *runner.Error that says that nothing was sent.
func (s *Seat) Line(ctx context.Context, fresh bool) (*upstream.Line, error) {
	if line := s.line; line != nil && line.Open() {
		s.line = nil
		return line, nil
	}
	return s.instance.pool.Line(ctx, fresh)
}

// Answering tells that the attempt has begun to answer.
func (s *Seat) Answering() { s.instance.answering(s, time.Now()) }

// Streamed tells how long the tokens of the answer took from the first to the last.
func (s *Seat) Streamed(tokens int64, took time.Duration) { s.instance.learner.streamed(tokens, took) }

// End tells how the attempt has ended; only the first call counts.
func (s *Seat) End(o Outcome) {
	if s.ended {
		return
	}
	s.ended = true
	s.instance.end(s, o, time.Now())
}

// Update takes over a new roster. What is known of an instance stays with its lifetime.
func (p *Placement) Update(r *roster.Roster) {
	p.mu.Lock()
	defer p.mu.Unlock()
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
		if !ok || !state.SameLife(i) {
			state = newInstance(i, p, p.learnerOf(i.Service))
		} else {
			delete(known, i.ID)
			state.list()
		}
		s := p.services[i.Service]
		if s == nil {
			s = &service{lanes: &lanes{}, learner: p.learnerOf(i.Service)}
			if before, ok := old[i.Service]; ok {
				s.lanes = before.lanes
			}
			p.services[i.Service] = s
		}
		s.instances = append(s.instances, state)
	}
	for _, s := range p.services {
		s.instances = laneOrder(s.instances)
	}
	now := time.Now()
	maps.DeleteFunc(known, func(_ string, gone *instance) bool { return !gone.vanish(now) })
	p.unlisted = known
}

// learnerOf returns what follows the pace of a service. The caller holds mu.
func (p *Placement) learnerOf(service string) *learner {
	l, ok := p.learners[service]
	if !ok {
		if p.learners == nil {
			p.learners = make(map[string]*learner)
		}
		l = &learner{}
		p.learners[service] = l
	}
	return l
}

// Prune closes idle connections that are too old.
func (p *Placement) Prune(now time.Time) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, s := range p.services {
		for _, i := range s.instances {
			i.pool.Prune(now)
		}
	}
}

// Choose takes a seat for the request at an instance of the service.
//
// The error is ErrNoInstance, or a *PausedError where all that are left want no requests now.
func (p *Placement) Choose(ctx context.Context, service string, d Demand) (*Seat, error) {
	p.mu.RLock()
	s := p.services[service]
	p.mu.RUnlock()
	if s == nil {
		return nil, ErrNoInstance
	}
	s.lanes.note(d, s.learner.pace(), s.instances, time.Now())
	seat := &Seat{}
	if d.Careful && p.Ask != nil {
		seat.instance, seat.line = p.ask(ctx, s, d)
	} else {
		seat.instance = p.choose(s, d, time.Now())
	}
	if seat.instance == nil {
		return nil, s.noInstance(d, time.Now())
	}
	seat.instance.begin(seat, d, time.Now())
	return seat, nil
}

// Paces returns the pace of each service.
func (p *Placement) Paces() map[string]Pace {
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := make(map[string]Pace, len(p.services))
	for name, s := range p.services {
		out[name] = s.learner.pace()
	}
	return out
}

func (p *Placement) intN(n int) int {
	if p.Rand == nil {
		return rand.IntN(n)
	}
	return p.Rand(n)
}

// rank returns the place of an instance in the order of a key; higher goes first.
func rank(key uint64, i *instance) uint64 { return balance.Mix(key, i.hash) }
