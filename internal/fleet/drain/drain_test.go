package drain

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	maxAge = 5 * time.Second
	spread = 2 * time.Second
	limit  = time.Minute
)

// visit is a caller that learns of the router, uses it a while later, and reads for some time.
type visit struct {
	Learn time.Duration // before or after the announcement
	Use   time.Duration // after learning, at most maxAge
	Read  time.Duration
}

// server is the router as its callers see it.
type server struct {
	mu       sync.Mutex // guards the fields below
	leaving  time.Time
	refusing bool
	closed   bool
	active   int
	failures []string
}

func (s *server) fail(format string, args ...any) {
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

// visit plays one caller. Others leave the router out of the entries after spread.
func (s *server) visit(v visit) {
	time.Sleep(v.Learn)
	s.mu.Lock()
	listed := s.leaving.IsZero() || time.Since(s.leaving) < spread
	s.mu.Unlock()
	if !listed {
		return
	}
	time.Sleep(v.Use)
	s.mu.Lock()
	if s.refusing || s.closed {
		s.fail("a caller that learnt of the router %s before was refused", v.Use)
		s.mu.Unlock()
		return
	}
	s.active++
	s.mu.Unlock()
	time.Sleep(v.Read)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		s.fail("a stream of %s was cut off", v.Read)
	}
	s.active--
}

// finish waits until nothing is in flight.
func (s *server) finish(ctx context.Context) error {
	for ctx.Err() == nil {
		s.mu.Lock()
		active := s.active
		s.mu.Unlock()
		if active == 0 {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ctx.Err()
}

func (s *server) drain() *Drain {
	set := func(f func()) {
		s.mu.Lock()
		defer s.mu.Unlock()
		f()
	}
	return &Drain{
		Announce: func(context.Context) { set(func() { s.leaving = time.Now() }) },
		Age:      maxAge + spread,
		Refuse:   func() { set(func() { s.refusing = true }) },
		Finish: []Part{{Name: "finish", Run: s.finish}, {Name: "close", Run: func(context.Context) error {
			set(func() { s.closed = true })
			return nil
		}}},
		HandOver:     []Part{{Name: "hand over", Run: func(context.Context) error { return nil }}},
		Quit:         func(context.Context) {},
		Limit:        limit,
		HandOverTime: time.Second,
	}
}

// play drains a router under the visits; off switches a mechanism off.
func play(t *testing.T, visits []visit, off func(d *Drain)) error {
	t.Helper()
	var err error
	synctest.Test(t, func(*testing.T) {
		s := &server{}
		var callers sync.WaitGroup
		for _, v := range visits {
			callers.Go(func() { s.visit(v) })
		}
		time.Sleep(10 * time.Second)
		d := s.drain()
		if off != nil {
			off(d)
		}
		began := time.Now()
		err = d.Run()
		if took := time.Since(began); err == nil && took > limit+d.HandOverTime {
			err = fmt.Errorf("the stop took %s", took)
		}
		callers.Wait()
		if err == nil && len(s.failures) > 0 {
			err = fmt.Errorf("%v", s.failures)
		}
	})
	return err
}

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "7")
	}
	m.Run()
}

func millis(t *rapid.T, most int, label string) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
}

func TestDrainCutsOffNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		visits := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) visit {
			return visit{
				Learn: millis(t, 20_000, "learn_ms"),
				Use:   millis(t, int(maxAge.Milliseconds())-1, "use_ms"),
				Read:  millis(t, 40_000, "read_ms"),
			}
		}), 1, 20).Draw(rt, "visits")
		if err := play(t, visits, nil); err != nil {
			rt.Fatal(err)
		}
	})
}

func TestDrainNeedsEachMechanism(t *testing.T) {
	late := []visit{{Learn: 9900 * time.Millisecond, Use: 4900 * time.Millisecond, Read: time.Second}}
	long := []visit{{Learn: 9 * time.Second, Read: 30 * time.Second}}
	assertCaught := func(t *testing.T, visits []visit, off func(d *Drain)) {
		t.Helper()
		assert.NilError(t, play(t, visits, nil))
		assert.Assert(t, play(t, visits, off) != nil, "the mechanism is off and nothing is caught")
	}
	t.Run("age", func(t *testing.T) { assertCaught(t, late, func(d *Drain) { d.Age = 0 }) })
	t.Run("finish", func(t *testing.T) { assertCaught(t, long, func(d *Drain) { d.Finish = d.Finish[1:] }) })
	t.Run("announcement", func(t *testing.T) {
		after := []visit{{Learn: 15 * time.Second, Use: 4 * time.Second, Read: time.Second}}
		assertCaught(t, after, func(d *Drain) { d.Announce = func(context.Context) {} })
	})
}

func TestDrainEndsAtItsLimit(t *testing.T) {
	endless := []visit{{Learn: 9 * time.Second, Read: time.Hour}}
	assert.ErrorContains(t, play(t, endless, nil), "finish")
}

func TestHandOverOutlastsAnOutage(t *testing.T) {
	const outage = 30 * time.Second
	handOver := func(limit time.Duration) error {
		return play(t, nil, func(d *Drain) {
			d.Limit = limit
			back := time.Now().Add(outage)
			d.HandOver = []Part{{Name: "hand over", Run: func(context.Context) error {
				if time.Now().Before(back) {
					return fmt.Errorf("table unavailable")
				}
				return nil
			}}}
		})
	}
	assert.NilError(t, handOver(limit))
	assert.ErrorContains(t, handOver(10*time.Second), "hand over")
}
