package warmup

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rosevalve/internal/target/balance"
)

// Limiter decides which requests this router may send to cold targets. A nil Limiter sets no
// limit.
type Limiter struct {
	// Self is the address of this router, and Routers returns those of the routers in its view.
	Self    string
	Routers func() []string
	// Seeds returns addresses of routers that this one should meet soon after its start; nil
	// stands for none.
	Seeds func() []string
	// Rate returns what a cold target of a service bears.
	Rate func(service string) Rate
	// Bounds returns by how much all routers together may exceed the rate.
	Bounds func() Bounds
	// OnChange is called when a target becomes cold or warm; it must not block. It may be nil.
	OnChange func(c Change)

	count    atomic.Int64 // of targets; nothing is limited while it is 0
	diverted atomic.Int64

	mu      sync.Mutex // guards the fields below
	fleet   fleet
	targets map[string]*target // by ID; those that are or were cold lately
	sent    int64

	// divide is Bounds.divide; tests replace it.
	divide func(b Bounds, rate float64, routers int) share
}

// Change describes that a target has become cold or warm.
type Change struct {
	// Service and Instance identify the target.
	Service, Instance string
	// Cold is set if the target has become cold, until the time Until as far as is known.
	Cold  bool
	Until time.Time
	// Presumed is set if the target has not told that it is cold, but may have restarted.
	Presumed bool
	// Owner is set if this router may send requests to it meanwhile.
	Owner bool
	// Sent is the number of requests that this router has sent to it while it was cold.
	Sent int
}

// Announced records that a target has told that it is cold until a time. A shorter time does not
// replace a longer one, since it may have been told before.
func (l *Limiter) Announced(service, id string, until, now time.Time) {
	if l == nil || !until.After(now) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if latest := now.Add(maxColdTimes * l.Rate(service).coldTime()); until.After(latest) {
		until = latest
	}
	t := l.target(service, id)
	if until.After(t.toldUntil) {
		t.toldUntil = until
	}
	l.report(id, t, now)
}

// Presume records that a target may have restarted: it could not be reached, broke off, or is new
// and has not told whether it is cold.
func (l *Limiter) Presume(service, id string, now time.Time) {
	if l == nil {
		return
	}
	rate := l.Rate(service)
	if rate.PerSecond <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.target(service, id)
	t.presumedUntil = now.Add(rate.coldTime() + announceTime)
	l.report(id, t, now)
}

// Answered records that a target has told in an answer for how long it is cold; 0 if it is not.
func (l *Limiter) Answered(service, id string, coldFor time.Duration, now time.Time) {
	if coldFor > 0 {
		l.Announced(service, id, now.Add(coldFor), now)
		return
	}
	l.endPresumption(id, now)
}

// Served records that a target has served a request on a connection which was open at a time.
// One that has run for longer since than targets are cold has not restarted lately.
func (l *Limiter) Served(service, id string, openAt, now time.Time) {
	if l == nil || l.count.Load() == 0 || now.Sub(openAt) < l.Rate(service).coldTime() {
		return
	}
	l.endPresumption(id, now)
}

// endPresumption ends the presumption that a target has restarted.
func (l *Limiter) endPresumption(id string, now time.Time) {
	if l == nil || l.count.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.targets[id]; t != nil {
		t.presumedUntil = time.Time{}
		l.report(id, t, now)
	}
}

// Withheld reports whether this router may not send a request to a target now, since that is cold.
func (l *Limiter) Withheld(service, id string, now time.Time) bool {
	return l.FreeAt(service, id, now).After(now)
}

// Cold reports whether a target is cold, as far as is known, and the requests to it are limited.
func (l *Limiter) Cold(service, id string, now time.Time) bool {
	if l == nil || l.count.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.targets[id]
	return t != nil && t.coldUntil().After(now) && l.Rate(service).PerSecond > 0
}

// FreeAt returns when this router may next send a request to a target; not after now if it may
// at once.
func (l *Limiter) FreeAt(service, id string, now time.Time) time.Time {
	if l == nil || l.count.Load() == 0 {
		return now
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.freeAt(service, id, now)
}

// Take reports whether this router may send a request to a target now, and if so counts it. It
// must be called right before the request is sent.
func (l *Limiter) Take(service, id string, now time.Time) bool {
	if l == nil || l.count.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.freeAt(service, id, now).After(now) {
		return false
	}
	if t := l.targets[id]; t != nil && t.coldUntil().After(now) && l.Rate(service).PerSecond > 0 {
		t.lastTaken = now
		t.taken++
		l.sent++
	}
	return true
}

// freeAt is FreeAt for a caller that holds mu.
func (l *Limiter) freeAt(service, id string, now time.Time) time.Time {
	t := l.targets[id]
	if t == nil {
		return now
	}
	until := t.coldUntil()
	rate := l.Rate(service)
	if rate.PerSecond <= 0 || !until.After(now) {
		return now
	}
	s := l.share(rate.PerSecond)
	if !l.owns(t, s, now) {
		return until
	}
	free := t.lastTaken.Add(s.pace)
	if free.After(until) {
		return until
	}
	return free
}

// owns reports whether this router is an owner of the share of a target. The caller holds mu.
func (l *Limiter) owns(t *target, s share, now time.Time) bool {
	return !l.fleet.observedAt.IsZero() && l.fleet.settled(l.otherSeeds(), now) && t.rankIn(&l.fleet, balance.Hash(l.Self)) < s.owners
}

// setDefaults sets the mechanisms that tests may disable. The caller holds mu.
func (l *Limiter) setDefaults() {
	if l.fleet.settle == 0 {
		l.fleet.settle = settleTime
	}
	if l.fleet.retention == 0 {
		l.fleet.retention = memberRetention
	}
	if l.fleet.maxGap == 0 {
		l.fleet.maxGap = maxObserveGap
	}
}

// share returns the share of a target that bears a rate. The caller holds mu.
func (l *Limiter) share(rate float64) share {
	if l.divide != nil {
		return l.divide(l.Bounds(), rate, l.fleet.size())
	}
	return l.Bounds().divide(rate, l.fleet.size())
}

// otherSeeds returns the seeds without this router.
func (l *Limiter) otherSeeds() []string {
	if l.Seeds == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(l.Seeds()), func(addr string) bool { return addr == l.Self })
}

// target returns the state of a target, creating it if needed. The caller holds mu.
func (l *Limiter) target(service, id string) *target {
	t := l.targets[id]
	if t == nil {
		if l.targets == nil {
			l.targets = make(map[string]*target)
		}
		t = newTarget(service, id)
		l.targets[id] = t
		l.count.Store(int64(len(l.targets)))
	}
	t.service = service
	return t
}
