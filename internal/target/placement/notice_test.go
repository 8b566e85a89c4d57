package placement

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"rosevalve/internal/target/roster"
	"rosevalve/internal/target/upstream"
)

// notify hands an instance's notice to the placement as an answer does.
func notify(p *Placement, id string, n upstream.Notice) {
	for _, i := range p.services[writer].instances {
		if i.ID == id {
			i.heed(n)
		}
	}
}

// assertNever checks that an instance is not chosen while requests pile up elsewhere.
func assertNever(t *testing.T, p *Placement, id string) {
	t.Helper()
	for range 40 {
		assert.Assert(t, choose(t, p, prompt(7)).ID() != id)
	}
}

// assertPaused checks that no instance may get a request for a time.
func assertPaused(t *testing.T, p *Placement, want time.Duration) {
	t.Helper()
	_, err := p.Choose(t.Context(), writer, Demand{})
	var paused *PausedError
	assert.Assert(t, errors.As(err, &paused), "%v", err)
	assert.ErrorIs(t, err, ErrNoInstance)
	assert.Equal(t, time.Until(paused.Until), want)
}

func TestLeavingInstanceGetsNothing(t *testing.T) {
	p := placement(2)
	notify(p, "i-0", upstream.Notice{Leaving: true})
	assertNever(t, p, "i-0")
	t.Run("whatever the roster says", func(t *testing.T) {
		p.Update(instances(2))
		assertNever(t, p, "i-0")
	})
	t.Run("also after it was missing", func(t *testing.T) {
		p.Update(instances(0))
		p.Update(instances(0))
		p.Update(instances(2))
		assertNever(t, p, "i-0")
	})
	t.Run("its next lifetime is used", func(t *testing.T) {
		p.Update(roster.New([]roster.Instance{{ID: "i-0", Service: writer, Addr: "10.0.0.0:80", Born: time.Unix(1, 0)}}))
		assert.Equal(t, choose(t, p, Demand{}).ID(), "i-0")
	})
}

func TestAllLeave(t *testing.T) {
	p := placement(1)
	notify(p, "i-0", upstream.Notice{Leaving: true, Pause: time.Second})
	_, err := p.Choose(t.Context(), writer, Demand{})
	assert.Equal(t, err, ErrNoInstance)
}

func TestPausedInstanceGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := placement(2)
		notify(p, "i-0", upstream.Notice{Pause: 2 * time.Second})
		notify(p, "i-0", upstream.Notice{Pause: time.Second})
		time.Sleep(2*time.Second - time.Millisecond)
		assertNever(t, p, "i-0")
		time.Sleep(time.Millisecond)
		assert.Equal(t, choose(t, p, Demand{}).ID(), "i-0")
	})
}

func TestAllPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := placement(3)
		for n, id := range []string{"i-0", "i-1", "i-2"} {
			notify(p, id, upstream.Notice{Pause: time.Duration(3-n) * time.Second})
		}
		assertPaused(t, p, time.Second)
		notify(p, "i-2", upstream.Notice{Leaving: true})
		assertPaused(t, p, 2*time.Second)
	})
}

func TestNoticesAreToldOnce(t *testing.T) {
	p := placement(1)
	var told []Notice
	p.services[writer].instances[0].onNotice = func(n Notice) { told = append(told, n) }
	for range 3 {
		notify(p, "i-0", upstream.Notice{Pause: time.Minute})
		notify(p, "i-0", upstream.Notice{Leaving: true})
	}
	assert.Equal(t, len(told), 2)
	assert.Assert(t, !told[0].Leaving && told[1].Leaving && told[1].Until.IsZero())
}
