package placement

import (
	"context"
	"time"

	"rosevalve/internal/target/upstream"
)

const (
	// reportAge is how old a report may be when a careful request relies on it.
	reportAge = 150 * time.Millisecond
	// reportFade is the age at which a report says nothing any more.
	reportFade = 2 * time.Second
	// reportTime bounds the wait for a report, beside its way.
	reportTime = 60 * time.Millisecond
	// maxAsked bounds the instances that are asked for one request.
	maxAsked = 3
)

// Report is what an engine says about its load; it lags behind.
type Report struct {
	// Waiting requests have not begun to answer, and Running ones have.
	Waiting, Running int
}

// ask chooses an instance whose report agrees with the choice, and returns it with the
// line that it was asked on. Asking also shows that the instance lives before a request
// is sent that may run only once.
func (p *Placement) ask(ctx context.Context, s *service, d Demand) (*instance, *upstream.Line) {
	var line *upstream.Line
	var on *instance
	for range maxAsked {
		now := time.Now()
		i := p.choose(s, d, now)
		if i == on || i == nil {
			return i, line
		}
		if line != nil {
			line.Return()
		}
		line, on = p.askOne(ctx, i), i
		if ctx.Err() != nil {
			return i, line
		}
	}
	i := p.choose(s, d, time.Now())
	if i != on && line != nil {
		line.Return()
		line = nil
	}
	return i, line
}

// askOne asks one instance; the line is nil if it did not answer.
func (p *Placement) askOne(ctx context.Context, i *instance) *upstream.Line {
	line, err := i.pool.Line(ctx, false)
	if err != nil {
		i.missed(true)
		return nil
	}
	if i.reported(time.Now()) {
		return line
	}
	r, err := p.Ask(ctx, line, time.Now().Add(reportTime+i.distance.length()))
	if err != nil {
		if ctx.Err() == nil {
			i.missed(false)
		}
		return nil
	}
	i.report(r, time.Now())
	return line
}

// reported reports whether the instance has reported of late.
func (i *instance) reported(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return now.Sub(i.toldAt) < reportAge
}

func (i *instance) report(r Report, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.told, i.toldAt = r, now
}

// missed counts a question without an answer.
func (i *instance) missed(unreachable bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	defer i.tellHealth(i.breaker.State(), now)
	i.breaker.Failed(now, true)
	i.judge(1, now)
	if unreachable {
		clear(i.cached)
	}
}

// load returns what runs and is read there, by this router's own count and by the last
// report, which counts less as it grows old and whose waiting requests leave so many
// tokens unread. The caller holds mu.
func (i *instance) load(now time.Time, unread float64) (running float64, reading float64) {
	weight := i.reportWeight(now)
	running = max(float64(i.running), weight*float64(i.told.Running))
	reading = max(float64(i.reading), weight*unread*float64(i.told.Waiting))
	return running, reading
}

// occupied returns the places that are taken or waited for, by the same two. The caller
// holds mu.
func (i *instance) occupied(now time.Time) float64 {
	return max(float64(i.running), i.reportWeight(now)*float64(i.told.Running+i.told.Waiting))
}

// reportWeight is how much the last report counts, less as it grows old. The caller holds mu.
func (i *instance) reportWeight(now time.Time) float64 {
	return max(0, 1-float64(now.Sub(i.toldAt))/float64(reportFade))
}
