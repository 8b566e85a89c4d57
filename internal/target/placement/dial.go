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

// dialTimes estimates how long to wait for a connection from the last dials that succeeded. Those that fail tell nothing:
// the target may be down. The median leaves out single dials whose first packet was lost or whose target just starts.
type dialTimes struct {
	mu      sync.Mutex                 // guards the fields below
	samples [dialSamples]time.Duration // a ring, of which next is the oldest
	next    int
}

// observe records how long a successful dial took.
func (d *dialTimes) observe(took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.samples[d.next] = took
	d.next = (d.next + 1) % dialSamples
}

// timeout returns how long to wait for the next connection.
func (d *dialTimes) timeout() time.Duration {
	d.mu.Lock()
	sorted := d.samples
	d.mu.Unlock()
	slices.Sort(sorted[:])
	return max(minDialTimeout, min(dialTimeoutFactor*sorted[dialSamples/2], MaxDialTime))
}

// measuredDial returns a function that dials and records how long its successful calls take, as round-trip times of the
// failure domain of rtt and for the dial timeout.
func (p *Placement) measuredDial(rtt *rttEstimator) func(ctx context.Context, addr string) (net.Conn, error) {
	dial := p.Dial
	return func(ctx context.Context, addr string) (net.Conn, error) {
		start := time.Now()
		conn, err := dial(ctx, addr)
		if err == nil {
			took := time.Since(start)
			rtt.observe(took)
			p.dialTimes.observe(took)
		}
		return conn, err
	}
}
