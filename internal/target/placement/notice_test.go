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

// sendNotice delivers a notice of an instance to the placement, as an answer would.
func sendNotice(p *Placement, id string, n upstream.Notice) {
	for _, i := range p.services[writer].instances {
		if i.ID == id {
			i.handleNotice(n)
		}
	}
}

// assertNeverChosen checks that an instance is not chosen while unfinished requests
// accumulate at the others.
func assertNeverChosen(t *testing.T, p *Placement, id string) {
	t.Helper()
	for range 40 {
		assert.Assert(t, choose(t, p, sharedPartRequirements(7)).ID() != id)
	}
}

// assertAllPaused checks that Choose fails with a PausedError that ends after want.
func assertAllPaused(t *testing.T, p *Placement, want time.Duration) {
	t.Helper()
	_, err := p.Choose(t.Context(), writer, Requirements{})
	var paused *PausedError
	assert.Assert(t, errors.As(err, &paused), "%v", err)
	assert.ErrorIs(t, err, ErrNoInstance)
	assert.Equal(t, time.Until(paused.Until), want)
}

func TestLeavingInstanceGetsNothing(t *testing.T) {
	p := newPlacement(2)
	sendNotice(p, "i-0", upstream.Notice{Leaving: true})
	assertNeverChosen(t, p, "i-0")
	t.Run("whatever the roster says", func(t *testing.T) {
		p.Update(instances(2))
		assertNeverChosen(t, p, "i-0")
	})
	t.Run("also after it was missing", func(t *testing.T) {
		p.Update(instances(0))
		p.Update(instances(0))
		p.Update(instances(2))
		assertNeverChosen(t, p, "i-0")
	})
	t.Run("its next lifetime is used", func(t *testing.T) {
		p.Update(roster.New([]roster.Instance{{ID: "i-0", Service: writer, Addr: "10.0.0.0:80", StartedAt: time.Unix(1, 0)}}))
		assert.Equal(t, choose(t, p, Requirements{}).ID(), "i-0")
	})
}

func TestAllLeave(t *testing.T) {
	p := newPlacement(1)
	sendNotice(p, "i-0", upstream.Notice{Leaving: true, PauseFor: time.Second})
	_, err := p.Choose(t.Context(), writer, Requirements{})
	assert.Equal(t, err, ErrNoInstance)
}

func TestPausedInstanceGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlacement(2)
		sendNotice(p, "i-0", upstream.Notice{PauseFor: 2 * time.Second})
		sendNotice(p, "i-0", upstream.Notice{PauseFor: time.Second})
		time.Sleep(2*time.Second - time.Millisecond)
		assertNeverChosen(t, p, "i-0")
		time.Sleep(time.Millisecond)
		assert.Equal(t, choose(t, p, Requirements{}).ID(), "i-0")
	})
}

func TestAllPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlacement(3)
		for n, id := range []string{"i-0", "i-1", "i-2"} {
			sendNotice(p, id, upstream.Notice{PauseFor: time.Duration(3-n) * time.Second})
		}
		assertAllPaused(t, p, time.Second)
		sendNotice(p, "i-2", upstream.Notice{Leaving: true})
		assertAllPaused(t, p, 2*time.Second)
	})
}

func TestNoticesAreToldOnce(t *testing.T) {
	p := newPlacement(1)
	var notices []Notice
	p.services[writer].instances[0].onNotice = func(n Notice) { notices = append(notices, n) }
	for range 3 {
		sendNotice(p, "i-0", upstream.Notice{PauseFor: time.Minute})
		sendNotice(p, "i-0", upstream.Notice{Leaving: true})
	}
	assert.Equal(t, len(notices), 2)
	assert.Assert(t, !notices[0].Leaving && notices[1].Leaving && notices[1].Until.IsZero())
}
