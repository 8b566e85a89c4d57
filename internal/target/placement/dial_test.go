package placement

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/roster"
	"rosevalve/internal/target/runner"
	"rosevalve/internal/target/upstream"
)

// busyRouter returns a placement with one instance for each of the given dial times, which can be changed.
func busyRouter(dialTimes []time.Duration) *Placement {
	var instances []roster.Instance
	byAddr := make(map[string]*time.Duration)
	for n := range dialTimes {
		addr := fmt.Sprintf("10.0.0.%d:80", n)
		byAddr[addr] = &dialTimes[n]
		instances = append(instances, roster.Instance{ID: addr, Service: writer, Addr: addr})
	}
	p := &Placement{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		takes := *byAddr[addr]
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(min(takes, MaxDialTime)):
		}
		if takes > MaxDialTime {
			return nil, context.DeadlineExceeded
		}
		conn, _ := net.Pipe()
		return conn, nil
	}}
	p.Update(roster.New(instances))
	return p
}

// countUnconnected connects to each instance in turn and returns how many could not be reached in time.
func countUnconnected(t *testing.T, p *Placement) int {
	t.Helper()
	out := 0
	for _, i := range p.services[writer].instances {
		if _, err := i.pool.Acquire(t.Context(), true); err != nil {
			out++
		}
	}
	return out
}

// TestDialsOfABusyRouterAreWaitedFor guards against a router that gives up one connection after the other, and takes its
// targets for down, since its own link or processor is busy.
func TestDialsOfABusyRouterAreWaitedFor(t *testing.T) {
	for _, takes := range []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(takes.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dialTimes := make([]time.Duration, 20)
				p := busyRouter(dialTimes)
				for n := range dialTimes {
					dialTimes[n] = 4 * time.Millisecond
				}
				assert.Equal(t, countUnconnected(t, p), 0)
				for n := range dialTimes {
					dialTimes[n] = takes
				}
				unconnected := countUnconnected(t, p)
				// Until as many dials have ended as decide the median, attempts wait for the minimum.
				most := int(takes/minDialTimeout) + dialSamples/2 + 1
				assert.Assert(t, unconnected <= most, "%d of 20", unconnected)
				time.Sleep(takes)
				assert.Equal(t, countUnconnected(t, p), 0)
				time.Sleep(MaxDialTime)
			})
		})
	}
}

// TestQueueingDelay guards against a router that does not notice its own overload, or that takes targets that are far
// away, or down, for one.
func TestQueueingDelay(t *testing.T) {
	const near, far = 4 * time.Millisecond, 300 * time.Millisecond
	for name, c := range map[string]struct{ before, now, want time.Duration }{
		"all is well":              {near, near, 0},
		"far targets":              {far, far, 0},
		"a router that is busy":    {near, 700 * time.Millisecond, 600 * time.Millisecond},
		"far targets, busy router": {far, far + 400*time.Millisecond, 300 * time.Millisecond},
		"targets that are down":    {near, time.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dialTimes := slices.Repeat([]time.Duration{c.before}, 20)
				p := busyRouter(dialTimes)
				countUnconnected(t, p)
				time.Sleep(MaxDialTime)
				for n := range dialTimes {
					dialTimes[n] = c.now
				}
				countUnconnected(t, p)
				time.Sleep(MaxDialTime)
				if c.want == 0 {
					assert.Equal(t, p.QueueingDelay(), time.Duration(0))
				} else {
					assert.Assert(t, p.QueueingDelay() >= c.want, "%v", p.QueueingDelay())
				}
			})
		})
	}
}

// TestDialsOfTargetsThatAreDownEndSoon guards against requests that wait for targets that are down, alone or many at once.
func TestDialsOfTargetsThatAreDownEndSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialTimes := make([]time.Duration, 20)
		p := busyRouter(dialTimes)
		assert.Equal(t, countUnconnected(t, p), 0)
		for n := range 15 {
			dialTimes[n] = time.Hour
		}
		began := time.Now()
		assert.Equal(t, countUnconnected(t, p), 15)
		assert.Equal(t, time.Since(began), 15*250*time.Millisecond)
		time.Sleep(MaxDialTime)
	})
}

// TestTargetThatLeavesDuringADialGetsNothing guards against requests that reach a target long after it has said that it
// leaves, since they waited for a connection.
func TestTargetThatLeavesDuringADialGetsNothing(t *testing.T) {
	for name, leaves := range map[string]func(p *Placement, i *instance){
		"by its announcement": func(p *Placement, _ *instance) { p.Update(roster.New(nil)) },
		"by its answer":       func(_ *Placement, i *instance) { i.handleNotice(upstream.Notice{Leaving: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := busyRouter([]time.Duration{200 * time.Millisecond})
				slot := choose(t, p, Requirements{})
				time.AfterFunc(100*time.Millisecond, func() { leaves(p, slot.instance) })
				_, err := slot.Conn(t.Context(), true)
				assert.ErrorIs(t, err, ErrLeft)
				assert.Equal(t, runner.RunStateOf(err), answer.NotRun)
			})
		})
	}
}
