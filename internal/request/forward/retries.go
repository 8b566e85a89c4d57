package forward

import (
	"sync"
	"time"
)

const (
	// buckets is how finely the window of the retry budget is counted.
	buckets = 10
	// margin is the part of the budget that is used, since the parts of the window do
	// not slide.
	margin = 0.8
)

// Retries bounds for each service the sendings beyond the first of each request, so
// that all routers together stay within the fleet's budget.
type Retries struct {
	// Terms returns the number of repeats that each first sending earns, and the number
	// that the fleet may make besides.
	Terms func() (ratio, slack float64)
	// Window is the time over which both are counted.
	Window time.Duration
	// Routers returns how many routers share the slack.
	Routers func() int

	mu       sync.Mutex // guards the fields below
	began    time.Time
	services map[string]*tally
}

// tally counts one service's sendings in the parts of the window.
type tally struct {
	first, repeated [buckets]float64
	at              int64 // number of the current part since the counting began
}

// First counts the first sending of a request.
func (t *Retries) First(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.tally(service)
	s.first[s.at%buckets]++
}

// Repeat counts another sending of a request, and reports false if there may be none.
func (t *Retries) Repeat(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.tally(service)
	routers := max(1, t.Routers())
	ratio, slack := t.Terms()
	allowed := margin * (ratio*sum(s.first) + slack/float64(routers))
	if sum(s.repeated)+1 > allowed {
		return false
	}
	s.repeated[s.at%buckets]++
	return true
}

// tally returns the service's counts with what is older than the window forgotten. The
// caller holds mu.
func (t *Retries) tally(service string) *tally {
	if t.services == nil {
		t.services = make(map[string]*tally)
		t.began = time.Now()
	}
	s, ok := t.services[service]
	if !ok {
		s = &tally{}
		t.services[service] = s
	}
	now := int64(time.Since(t.began) / (t.Window / buckets))
	for range min(now-s.at, buckets) {
		s.at++
		s.first[s.at%buckets], s.repeated[s.at%buckets] = 0, 0
	}
	s.at = now
	return s
}

func sum(parts [buckets]float64) float64 {
	var total float64
	for _, n := range parts {
		total += n
	}
	return total
}
