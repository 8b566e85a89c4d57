package timeout

import (
	"cmp"
	"sync"
	"time"
)

const (
	// defaultInitialTimeout is the timeout before the first latency is known.
	defaultInitialTimeout = 500 * time.Millisecond
	// defaultMinTimeout and defaultMaxTimeout bound every timeout. The minimum exceeds the time
	// that a write may reasonably spend in the platform's write queue.
	defaultMinTimeout = 250 * time.Millisecond
	defaultMaxTimeout = 3 * time.Second

	// meanWeight and deviationWeight are the shares of the newest latency in the moving
	// averages: the mean follows a change within about eight answers, the deviation within four.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// deviationFactor is the number of mean deviations by which the timeout exceeds the mean.
	deviationFactor = 4
)

// Estimator estimates a timeout as the moving average of the latencies plus a multiple of their
// mean deviation, as TCP does for its retransmission timeout. Its zero value is ready to use.
type Estimator struct {
	// MinTimeout and MaxTimeout bound every timeout; 0 stands for 250 ms and 3 s.
	MinTimeout, MaxTimeout time.Duration
	// InitialTimeout is the timeout before the first latency is known; 0 stands for 500 ms.
	InitialTimeout time.Duration

	mu        sync.Mutex // guards the fields below
	hasSample bool
	mean      float64 // in seconds
	deviation float64 // mean distance from the mean, in seconds
	timeout   time.Duration
}

// Timeout returns the timeout of the next call.
func (e *Estimator) Timeout() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.timeout == 0 {
		return cmp.Or(e.InitialTimeout, defaultInitialTimeout)
	}
	return e.timeout
}

// ObserveLatency records the latency of a call that was answered.
func (e *Estimator) ObserveLatency(latency time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := latency.Seconds()
	if !e.hasSample {
		e.hasSample = true
		e.mean, e.deviation = s, s/2
	} else {
		distance := s - e.mean
		e.mean += meanWeight * distance
		e.deviation += deviationWeight * (max(distance, -distance) - e.deviation)
	}
	e.timeout = e.clamp(time.Duration((e.mean + deviationFactor*e.deviation) * float64(time.Second)))
}

// ObserveTimeout records a call that was not answered within the given timeout. The next
// timeout is at least twice as long, within the bounds, since the service may be slow rather
// than down.
func (e *Estimator) ObserveTimeout(timeout time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.timeout = e.clamp(max(e.timeout, 2*timeout))
}

// clamp limits a timeout to the bounds.
func (e *Estimator) clamp(d time.Duration) time.Duration {
	return max(cmp.Or(e.MinTimeout, defaultMinTimeout), min(cmp.Or(e.MaxTimeout, defaultMaxTimeout), d))
}
