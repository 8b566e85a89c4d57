package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// keepSample is how much of each sample still counts after the next one.
	keepSample = 0.99
	// priorTokens and priorWeight are the length and the weight of the two samples that
	// hold until answers have come: one without a prompt and one with a long prompt.
	priorTokens = 4000
	priorWeight = 1.0
	// priorRate, priorStep and priorBase are assumed of engines that have not answered yet.
	priorRate = 30.0 // prompt tokens in a millisecond
	priorStep = 6 * time.Millisecond
	priorBase = 20 * time.Millisecond
	// maxSurprise bounds a sample by a multiple of what was expected, so that a request
	// that hung does not count as one that was read slowly.
	maxSurprise = 2
	// noteworthy is the factor by which a figure must change to be told.
	noteworthy = 1.3
)

// Pace is what the answers of a service's instances show about its engines.
type Pace struct {
	// ReadRate is how many prompt tokens an engine reads in a millisecond.
	ReadRate float64 `json:"read_rate"`
	// Base is the time to the first event beside the reading.
	Base time.Duration `json:"base_ns"`
	// Step is the time between two tokens of an answer.
	Step time.Duration `json:"step_ns"`
	// Stay is how long an attempt lasts.
	Stay time.Duration `json:"stay_ns"`
	// Unread is the prompt tokens that a request leaves to be read, in the mean.
	Unread float64 `json:"unread_tokens"`
	// Samples is the number of answers that were seen.
	Samples int `json:"samples"`
}

// read returns the time that an engine needs to read a number of prompt tokens.
func (p Pace) read(tokens float64) time.Duration {
	return time.Duration(tokens / p.ReadRate * float64(time.Millisecond))
}

// learner follows the pace of one service. Its zero value assumes the prior figures.
type learner struct {
	mu      sync.Mutex // guards the fields below
	head    regression // of the milliseconds to the first event on the tokens read
	unread  mean
	step    mean
	stay    mean
	samples int
	told    Pace
}

// pace returns the figures of now.
func (l *learner) pace() Pace {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.paceLocked()
}

func (l *learner) paceLocked() Pace {
	base, slope := l.head.line()
	return Pace{
		ReadRate: 1 / slope,
		Base:     time.Duration(base * float64(time.Millisecond)),
		Step:     time.Duration(l.step.or(float64(priorStep))),
		Stay:     time.Duration(l.stay.or(0)),
		Unread:   l.unread.or(priorTokens),
		Samples:  l.samples,
	}
}

// began takes in an answer that has begun after so many tokens were read. It reports the
// new figures if they have changed by much since they were reported.
func (l *learner) began(tokens, own float64, took time.Duration) (Pace, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.paceLocked()
	expected := now.Base + now.read(tokens)
	took = min(took, maxSurprise*expected)
	l.head.add(tokens, float64(took)/float64(time.Millisecond))
	l.unread.add(own)
	l.samples++
	now = l.paceLocked()
	if !differs(now.ReadRate, l.told.ReadRate) && !differs(float64(now.Step), float64(l.told.Step)) {
		return Pace{}, false
	}
	l.told = now
	return now, true
}

// differs reports whether a figure has changed by much.
func differs(a, b float64) bool { return max(a, b) > noteworthy*min(a, b) }

// streamed takes in how long the tokens of an answer took, from the first to the last.
func (l *learner) streamed(tokens int64, took time.Duration) {
	if tokens <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step.add(float64(took) / float64(tokens))
}

// ended takes in how long an attempt lasted that went well.
func (l *learner) ended(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stay.add(float64(took))
}

// mean is a mean in which older samples fade.
type mean struct {
	sum, weight float64
}

func (m *mean) add(x float64) {
	m.sum = keepSample*m.sum + x
	m.weight = keepSample*m.weight + 1
}

// or returns the mean, or the value given if there are no samples.
func (m *mean) or(none float64) float64 {
	if m.weight == 0 {
		return none
	}
	return m.sum / m.weight
}

// regression fits a line to samples that fade.
type regression struct {
	n, x, y, xx, xy float64
}

func (r *regression) add(x, y float64) {
	for _, s := range []struct {
		sum   *float64
		value float64
	}{{&r.n, 1}, {&r.x, x}, {&r.y, y}, {&r.xx, x * x}, {&r.xy, x * y}} {
		*s.sum = keepSample**s.sum + s.value
	}
}

// line returns the line through the samples and the prior ones. Its slope is positive.
func (r regression) line() (base, slope float64) {
	const least = 1e-4
	priorMS := float64(priorBase) / float64(time.Millisecond)
	n := r.n + 2*priorWeight
	x := r.x + priorWeight*priorTokens
	y := r.y + priorWeight*(2*priorMS+priorTokens/priorRate)
	xx := r.xx + priorWeight*priorTokens*priorTokens
	xy := r.xy + priorWeight*priorTokens*(priorMS+priorTokens/priorRate)
	slope = max(least, (n*xy-x*y)/(n*xx-x*x))
	return math.Max(0, (y-slope*x)/n), slope
}
