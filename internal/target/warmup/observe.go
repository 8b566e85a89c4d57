package warmup

import (
	"slices"
	"time"
)

// Observe passes the time and the current view on. It must be called several times a second.
func (l *Limiter) Observe(now time.Time) {
	if l == nil {
		return
	}
	view := slices.DeleteFunc(slices.Clone(l.Routers()), func(addr string) bool { return addr == l.Self })
	slices.Sort(view)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setDefaults()
	l.fleet.observe(view, now)
	for id, t := range l.targets {
		l.report(id, t, now)
		if !t.cold && !l.paced(t, now) {
			delete(l.targets, id)
		}
	}
	l.count.Store(int64(len(l.targets)))
}

// paced reports whether a target that is warm would have to wait for the pace if it became cold now.
// The caller holds mu.
func (l *Limiter) paced(t *target, now time.Time) bool {
	rate := l.Rate(t.service).PerSecond
	return rate > 0 && now.Sub(t.lastTaken) < l.share(rate).pace
}

// report tells OnChange whether a target is cold if that has changed. The caller holds mu.
func (l *Limiter) report(id string, t *target, now time.Time) {
	rate := l.Rate(t.service)
	cold := rate.PerSecond > 0 && t.coldUntil().After(now)
	if cold == t.cold {
		return
	}
	t.cold = cold
	c := Change{Service: t.service, Instance: id, Cold: cold, Until: t.coldUntil(), Presumed: !t.toldUntil.After(now), Sent: t.taken}
	if cold {
		c.Owner = l.owns(t, l.share(rate.PerSecond), now)
		t.taken, c.Sent = 0, 0
	}
	if l.OnChange != nil {
		l.OnChange(c)
	}
}

// Diverted counts a request that was chosen another target because of the limit.
func (l *Limiter) Diverted() { l.diverted.Add(1) }

// Counts are the numbers of a limiter.
type Counts struct {
	// Cold is the number of targets that are cold, and Owned that of those to which this router
	// may send requests.
	Cold, Owned int
	// Sent is the number of requests sent to cold targets, and Diverted that of requests for
	// which a cold target was passed over, both since the start.
	Sent, Diverted int64
	// PerSecond is the number of requests a second that this router may send to cold targets.
	PerSecond float64
}

// Counts returns the numbers at a time.
func (l *Limiter) Counts(now time.Time) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := Counts{Sent: l.sent, Diverted: l.diverted.Load()}
	for _, t := range l.targets {
		rate := l.Rate(t.service).PerSecond
		if rate <= 0 || !t.coldUntil().After(now) {
			continue
		}
		out.Cold++
		if s := l.share(rate); l.owns(t, s, now) {
			out.Owned++
			out.PerSecond += 1 / s.pace.Seconds()
		}
	}
	return out
}
