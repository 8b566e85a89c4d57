package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// sampleDecay is the factor by which each new sample reduces the weight of earlier ones.
	sampleDecay = 0.99
	// priorTokens is the prompt length of one of the two prior samples of the regression;
	// the other has an empty prompt. priorWeight is the weight of each. They determine
	// the engine speed until answers arrive.
	priorTokens = 4000
	priorWeight = 1.0
	// priorRate, priorStep and priorBase are assumed for engines that have not answered yet.
	priorRate = 30.0 // prompt tokens per millisecond
	priorStep = 6 * time.Millisecond
	priorBase = 20 * time.Millisecond
	// maxSampleRatio bounds a sample to a multiple of the expected time, so that a request
	// that hung does not count as a slow prefill.
	maxSampleRatio = 2
	// changeRatio is the factor above which a changed value is published again.
	changeRatio = 1.3
)

// EngineSpeed holds the speed of a service's engines, estimated from their answers.
type EngineSpeed struct {
	// PrefillRate is the prefill throughput of an engine, in prompt tokens per millisecond.
	PrefillRate float64 `json:"read_rate"`
	// BaseLatency is the part of the time to the first event that does not depend on the prompt.
	BaseLatency time.Duration `json:"base_ns"`
	// TokenInterval is the mean time between two tokens of an answer.
	TokenInterval time.Duration `json:"step_ns"`
	// AttemptTime is the mean duration of a served attempt; 0 before the first one has ended.
	AttemptTime time.Duration `json:"stay_ns"`
	// PrefillTokens is the mean number of prompt tokens per request that are not cached and must
	// be prefilled.
	PrefillTokens float64 `json:"unread_tokens"`
	// Samples is the number of answers observed.
	Samples int `json:"samples"`
}

// prefillTime returns the time that an engine needs to prefill a number of prompt tokens.
func (s EngineSpeed) prefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / s.PrefillRate * float64(time.Millisecond))
}

// speedEstimator estimates the engine speed of one service. Its zero value returns the prior
// values.
type speedEstimator struct {
	mu            sync.Mutex   // guards the fields below
	firstEvent    regression   // milliseconds to the first event over the tokens to prefill
	prefillTokens decayingMean // of one request
	step          decayingMean // nanoseconds between tokens
	attemptTime   decayingMean // nanoseconds
	samples       int
	published     EngineSpeed // last speed that observeFirstEvent returned with true
}

// speed returns the current estimate.
func (e *speedEstimator) speed() EngineSpeed {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.speedLocked()
}

// speedLocked returns the current estimate. The caller holds mu.
func (e *speedEstimator) speedLocked() EngineSpeed {
	base, slope := e.firstEvent.fit()
	return EngineSpeed{
		PrefillRate:   1 / slope,
		BaseLatency:   time.Duration(base * float64(time.Millisecond)),
		TokenInterval: time.Duration(e.step.valueOr(float64(priorStep))),
		AttemptTime:   time.Duration(e.attemptTime.valueOr(0)),
		PrefillTokens: e.prefillTokens.valueOr(priorTokens),
		Samples:       e.samples,
	}
}

// observeFirstEvent records that an answer began after the engine had prefilled a number of
// tokens, of which own belong to its request. It returns the new speed and true if the
// prefill throughput or the token interval differs by more than changeRatio from the speed that
// was last returned with true.
func (e *speedEstimator) observeFirstEvent(tokens, own float64, took time.Duration) (EngineSpeed, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.speedLocked()
	expected := now.BaseLatency + now.prefillTime(tokens)
	took = min(took, maxSampleRatio*expected)
	e.firstEvent.add(tokens, float64(took)/float64(time.Millisecond))
	e.prefillTokens.add(own)
	e.samples++
	now = e.speedLocked()
	if !differs(now.PrefillRate, e.published.PrefillRate) && !differs(float64(now.TokenInterval), float64(e.published.TokenInterval)) {
		return EngineSpeed{}, false
	}
	e.published = now
	return now, true
}

// differs reports whether a and b differ by more than the factor changeRatio.
func differs(a, b float64) bool { return max(a, b) > changeRatio*min(a, b) }

// observeStream records the time that a number of tokens of an answer took after its first
// event.
func (e *speedEstimator) observeStream(tokens int64, took time.Duration) {
	if tokens <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.step.add(float64(took) / float64(tokens))
}

// observeAttempt records the duration of a successful attempt.
func (e *speedEstimator) observeAttempt(took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attemptTime.add(float64(took))
}

// decayingMean is a mean with exponentially decaying weights of older samples.
type decayingMean struct {
	sum, weight float64
}

// add adds a sample.
func (m *decayingMean) add(x float64) {
	m.sum = sampleDecay*m.sum + x
	m.weight = sampleDecay*m.weight + 1
}

// valueOr returns the mean, or fallback if there are no samples.
func (m *decayingMean) valueOr(fallback float64) float64 {
	if m.weight == 0 {
		return fallback
	}
	return m.sum / m.weight
}

// regression is a linear regression with exponentially decaying weights of older samples.
// Its fields are the weighted sums.
type regression struct {
	n, x, y, xx, xy float64
}

// add adds a sample.
func (r *regression) add(x, y float64) {
	for _, s := range []struct {
		sum   *float64
		value float64
	}{{&r.n, 1}, {&r.x, x}, {&r.y, y}, {&r.xx, x * x}, {&r.xy, x * y}} {
		*s.sum = sampleDecay**s.sum + s.value
	}
}

// fit returns the intercept and the slope of the line through the samples and the two
// prior samples. The intercept is not negative and the slope is positive.
func (r regression) fit() (base, slope float64) {
	const minSlope = 1e-4 // milliseconds per token
	priorMS := float64(priorBase) / float64(time.Millisecond)
	n := r.n + 2*priorWeight
	x := r.x + priorWeight*priorTokens
	y := r.y + priorWeight*(2*priorMS+priorTokens/priorRate)
	xx := r.xx + priorWeight*priorTokens*priorTokens
	xy := r.xy + priorWeight*priorTokens*(priorMS+priorTokens/priorRate)
	slope = max(minSlope, (n*xy-x*y)/(n*xx-x*x))
	return math.Max(0, (y-slope*x)/n), slope
}
