package placement

import (
	"context"
	"net"
	"sync"
	"time"
)

// riseWeight is how fast a distance follows longer ways; shorter ones count at once,
// since whatever delays a dial beside the way only makes it longer.
const riseWeight = 1.0 / 32

// distance is the round trip to the instances of a failure domain, as dials show it.
type distance struct {
	mu    sync.Mutex // guards trip
	trip  time.Duration
	known bool
}

// note takes in a dial.
func (d *distance) note(took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.known || took < d.trip {
		d.trip, d.known = took, true
		return
	}
	d.trip += time.Duration(riseWeight * float64(took-d.trip))
}

// length returns the round trip; a way that is not known yet has none, so that it is tried.
func (d *distance) length() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.trip
}

// dialer measures the dials of another one.
func (d *distance) dialer(dial func(ctx context.Context, addr string) (net.Conn, error)) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		began := time.Now()
		conn, err := dial(ctx, addr)
		if err == nil {
			d.note(time.Since(began))
		}
		return conn, err
	}
}

// distanceTo returns the distance to a failure domain. The caller holds mu.
func (p *Placement) distanceTo(domain string) *distance {
	d, ok := p.distances[domain]
	if !ok {
		if p.distances == nil {
			p.distances = make(map[string]*distance)
		}
		d = &distance{}
		p.distances[domain] = d
	}
	return d
}

// wayCost estimates what it costs the request that its instance is so far away: the delay,
// and the goal that the way alone may miss.
func (d Demand) wayCost(trip time.Duration) time.Duration {
	way := trip
	if d.Once {
		way *= 2
	}
	cost := way
	if d.Goal > 0 {
		share := min(1, float64(way)/float64(d.Goal))
		cost += scale(d.loss(), share*share)
	}
	return cost
}
