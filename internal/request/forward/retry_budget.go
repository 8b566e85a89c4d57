package forward

import (
	"sync"
	"time"
)

const (
	// bucketCount is the number of buckets into which RetryBudget.Window is divided.
	bucketCount = 10
	// budgetFraction is the fraction of the budget that is used, since the window advances
	// by whole buckets instead of sliding.
	budgetFraction = 0.8
	// fleetSizeRetention is how long a router that is considered dead still counts among
	// those that share the slack, since it may only be cut off by a network partition.
	fleetSizeRetention = 10 * time.Minute
	// startupPeriod is how long after its start a router may not know the other routers yet.
	// Until then it uses at most startupRetries of the slack.
	startupPeriod  = 2 * time.Second
	startupRetries = 2
)

// RetryBudget is the retry budget: it limits, for each service, the attempts beyond the first
// of each request, so that all routers together stay within the budget of the fleet.
type RetryBudget struct {
	// Limits returns the number of retries that each first attempt earns (ratio), and the
	// number that the whole fleet may make in addition (slack).
	Limits func() (ratio, slack float64)
	// Window is the time over which attempts and retries are counted.
	Window time.Duration

	mu        sync.Mutex // guards the fields below
	startedAt time.Time
	services  map[string]*attemptCounts
	routers   recentMax
}

// recentMax is the largest value observed within fleetSizeRetention; values may count for
// up to twice that time.
type recentMax struct {
	current, previous int
	since             time.Time
}

func (m *recentMax) observe(n int, now time.Time) {
	if now.Sub(m.since) >= fleetSizeRetention {
		m.previous, m.current, m.since = m.current, 0, now
	}
	m.current = max(m.current, n)
}

func (m *recentMax) value() int { return max(m.current, m.previous) }

// attemptCounts holds one service's attempts in a ring of buckets that cover the window.
type attemptCounts struct {
	firstAttempts, retries [bucketCount]float64
	current                int64 // number of the current bucket, counted from RetryBudget.startedAt
}

// CountFirstAttempt counts the first attempt of a request to the service.
func (b *RetryBudget) CountFirstAttempt(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(service)
	c.firstAttempts[c.current%bucketCount]++
}

// AllowRetry reports whether the budget of the service allows another attempt of a request,
// and counts it if so.
func (b *RetryBudget) AllowRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(service)
	ratio, slack := b.Limits()
	allowed := budgetFraction*ratio*sum(c.firstAttempts) + b.slackShare(budgetFraction*slack, time.Now())
	if sum(c.retries)+1 > allowed {
		return false
	}
	c.retries[c.current%bucketCount]++
	return true
}

// SetRouterCount records the number of routers that are considered alive and share the
// slack. It must be called at the start and regularly afterwards.
func (b *RetryBudget) SetRouterCount(routers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.init()
	b.routers.observe(routers, time.Now())
}

// init prepares the zero value for use. The caller holds mu.
func (b *RetryBudget) init() {
	if b.services == nil {
		b.services = make(map[string]*attemptCounts)
		b.startedAt = time.Now()
	}
}

// slackShare returns this router's share of the fleet's slack. The caller holds mu.
func (b *RetryBudget) slackShare(slack float64, now time.Time) float64 {
	share := slack / float64(max(1, b.routers.value()))
	if now.Sub(b.startedAt) < startupPeriod {
		return min(share, startupRetries)
	}
	return share
}

// counts returns the service's counts after clearing the buckets that are older than the
// window. The caller holds mu.
func (b *RetryBudget) counts(service string) *attemptCounts {
	b.init()
	c, ok := b.services[service]
	if !ok {
		c = &attemptCounts{}
		b.services[service] = c
	}
	now := int64(time.Since(b.startedAt) / (b.Window / bucketCount))
	for range min(now-c.current, bucketCount) {
		c.current++
		c.firstAttempts[c.current%bucketCount], c.retries[c.current%bucketCount] = 0, 0
	}
	c.current = now
	return c
}

func sum(buckets [bucketCount]float64) float64 {
	var total float64
	for _, n := range buckets {
		total += n
	}
	return total
}
