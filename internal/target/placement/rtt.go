package placement

import (
	"sync"
	"time"
)

// rttRiseWeight is the weight of a sample above the current estimate. A lower sample
// replaces the estimate at once, because any delay of a dial other than the network
// path only lengthens the sample.
const rttRiseWeight = 1.0 / 32

// lowestPeriod is the time for which the shortest sample is kept, at least.
const lowestPeriod = time.Minute

// rttEstimator estimates the round-trip time to the instances of one failure domain from
// the durations of connection attempts.
type rttEstimator struct {
	mu       sync.Mutex // guards the fields below
	estimate time.Duration
	known    bool // at least one dial was measured

	// The shortest samples of the current period and of the one before it; 0 if there are none.
	lowest, lowestBefore time.Duration
	periodEnd            time.Time
}

// observe updates the estimate with the duration of one successful dial.
func (e *rttEstimator) observe(sample time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.known || sample < e.estimate {
		e.estimate, e.known = sample, true
		return
	}
	e.estimate += time.Duration(rttRiseWeight * float64(sample-e.estimate))
}

// observeQueueing records the duration of one successful dial, and returns by how much it exceeds the shortest one of the
// last minute or two. Unlike the estimate, that does not follow a delay that lasts.
func (e *rttEstimator) observeQueueing(sample time.Duration, now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.After(e.periodEnd) {
		e.lowestBefore, e.lowest = e.lowest, 0
		e.periodEnd = now.Add(lowestPeriod)
	}
	if e.lowest == 0 || sample < e.lowest {
		e.lowest = sample
	}
	if e.lowestBefore == 0 {
		return sample - e.lowest
	}
	return sample - min(e.lowest, e.lowestBefore)
}

// value returns the estimated round-trip time. It is 0 before the first dial, so that an
// unmeasured failure domain is tried.
func (e *rttEstimator) value() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.estimate
}

// rttTo returns the estimator for a failure domain, creating it on first use. The caller
// holds mu.
func (p *Placement) rttTo(domain string) *rttEstimator {
	e, ok := p.rtts[domain]
	if !ok {
		if p.rtts == nil {
			p.rtts = make(map[string]*rttEstimator)
		}
		e = &rttEstimator{}
		p.rtts[domain] = e
	}
	return e
}

// rttCost returns the cost of a round-trip time for the request: the delay itself, plus a
// penalty that grows with the share of the latency goal that the delay uses up. The delay
// counts twice for requests that may run only once, since a new connection or a load
// report precedes them.
func (r Requirements) rttCost(rtt time.Duration) time.Duration {
	delay := rtt
	if r.AtMostOnce {
		delay *= 2
	}
	cost := delay
	if r.LatencyGoal > 0 {
		share := min(1, float64(delay)/float64(r.LatencyGoal))
		cost += scale(r.failurePenalty(), share*share)
	}
	return cost
}
