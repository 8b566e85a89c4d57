package placement

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// dialSamples is the number of dials from which the next dial timeout is estimated.
	dialSamples = 9
	// dialTimeoutFactor is the dial timeout as a multiple of how long dials take.
	dialTimeoutFactor = 4
	// minDialTimeout bounds the dial timeout.
	minDialTimeout = 250 * time.Millisecond
)

// MaxDialTime bounds a dial, including the time in which it goes on after the attempt that waited for it has given up.
const MaxDialTime = 3 * time.Second

// dialTimes are the times of the last dials that succeeded. Those that fail tell nothing: the target may be down. The
// medians leave out single dials whose first packet was lost or whose target just starts.
type dialTimes struct {
	mu     sync.Mutex                 // guards the fields below
	took   [dialSamples]time.Duration // a ring, of which next is the oldest
	queued [dialSamples]time.Duration // by how much they exceeded the round trip, likewise
	next   int
}

// observe records how long a successful dial took, and by how much that exceeds the round trip.
func (d *dialTimes) observe(took, queued time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.took[d.next], d.queued[d.next] = took, queued
	d.next = (d.next + 1) % dialSamples
}

// timeout returns how long to wait for the next connection.
func (d *dialTimes) timeout() time.Duration {
	d.mu.Lock()
	took := d.took
	d.mu.Unlock()
	return max(minDialTimeout, min(dialTimeoutFactor*median(took), MaxDialTime))
}

// queueingDelay returns by how much dials exceed the round trip.
func (d *dialTimes) queueingDelay() time.Duration {
	d.mu.Lock()
	queued := d.queued
	d.mu.Unlock()
	return median(queued)
}

func median(samples [dialSamples]time.Duration) time.Duration {
	slices.Sort(samples[:])
	return samples[dialSamples/2]
}

// QueueingDelay returns by how much connections lately took longer to open than the round trips to their targets. What
// they all wait for is this router's own link and processor.
func (p *Placement) QueueingDelay() time.Duration { return p.dialTimes.queueingDelay() }

// measuredDial returns a function that dials and records how long its successful calls take, as round-trip times of the
// failure domain of rtt and for the dial timeout.
func (p *Placement) measuredDial(rtt *rttEstimator) func(ctx context.Context, addr string) (net.Conn, error) {
	dial := p.Dial
	return func(ctx context.Context, addr string) (net.Conn, error) {
		start := time.Now()
		conn, err := dial(ctx, addr)
		if err == nil {
			now := time.Now()
			took := now.Sub(start)
			rtt.observe(took)
			p.dialTimes.observe(took, rtt.observeQueueing(took, now))
		}
		return conn, err
	}
}
