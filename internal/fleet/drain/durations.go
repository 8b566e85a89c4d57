package drain

import (
	"sync"
	"time"
)

const (
	// durationWindow is the time for which a duration counts at least; it counts for twice that
	// time at most.
	durationWindow = 30 * time.Second
	// durationMargin is multiplied by the mean of recent durations, since a cut-off costs a caller
	// more than a refusal.
	durationMargin = 1.25
)

// Unknown is the expected duration of a request of whose kind nothing is known.
const Unknown time.Duration = -1

// Durations holds how long recent requests have lasted, by kind of request. The zero value is empty.
type Durations struct {
	mu            sync.Mutex // guards the fields below
	current, last map[string]durationSum
	windowEnd     time.Time // of current
}

// durationSum is the sum over requests of the time until their answer began, of the time after that, and of
// the largest sizes that their answers could have had.
type durationSum struct {
	requests, units int64
	first, rest     time.Duration
}

// Observe records a request whose answer began after first and was complete after total. units is
// the largest size that the answer could have had, such as its tokens; at least 1.
func (d *Durations) Observe(now time.Time, kind string, units int64, first, total time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(now)
	d.current[kind] = add(d.current[kind], durationSum{requests: 1, units: max(1, units), first: first, rest: total - first})
}

// Expect returns how long a request is expected to last that has the kind and the largest size of
// its answer, or Unknown if no request of the kind has ended recently.
func (d *Durations) Expect(now time.Time, kind string, units int64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(now)
	sum := add(d.current[kind], d.last[kind])
	if sum.requests == 0 {
		return Unknown
	}
	first := float64(sum.first) / float64(sum.requests)
	perUnit := float64(sum.rest) / float64(sum.units)
	return time.Duration(durationMargin * (first + perUnit*float64(max(1, units))))
}

// rotate begins a new window if the current one has ended. The caller holds mu.
func (d *Durations) rotate(now time.Time) {
	switch {
	case now.Before(d.windowEnd):
		return
	case now.Before(d.windowEnd.Add(durationWindow)):
		d.last = d.current
		d.windowEnd = d.windowEnd.Add(durationWindow)
	default:
		d.last = nil
		d.windowEnd = now.Add(durationWindow)
	}
	d.current = make(map[string]durationSum)
}

func add(a, b durationSum) durationSum {
	return durationSum{requests: a.requests + b.requests, units: a.units + b.units, first: a.first + b.first, rest: a.rest + b.rest}
}
