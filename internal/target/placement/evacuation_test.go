package placement

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/roster"
	"rosevalve/internal/target/runner"
	"rosevalve/internal/target/upstream"
)

// paused is the length of a pause.
const paused = time.Second

// evacuations are the failure domains that a test has evacuated.
type evacuations map[string]bool

// newDomainPlacement returns a placement with an instance in each of n failure domains, and the domains that are
// evacuated. All instances accept connections; opening one to an evacuated domain fails the test.
func newDomainPlacement(t *testing.T, n int) (*Placement, evacuations) {
	t.Helper()
	evacuated := make(evacuations)
	domains := make(map[string]string)
	p := &Placement{
		Dial: func(_ context.Context, addr string) (net.Conn, error) {
			assert.Check(t, !evacuated[domains[addr]], "dialed %s", addr)
			a, _ := net.Pipe()
			return a, nil
		},
		Rand:      func(int) int { return 0 },
		Evacuated: func(domain string) bool { return evacuated[domain] },
	}
	var list []roster.Instance
	for i := range n {
		addr, domain := fmt.Sprintf("10.0.0.%d:80", i), fmt.Sprintf("d-%d", i)
		domains[addr] = domain
		list = append(list, roster.Instance{ID: fmt.Sprintf("i-%d", i), Service: writer, FailureDomain: domain, Addr: addr, Capacity: 8})
	}
	p.Update(roster.New(list))
	return p, evacuated
}

// assertSkipped checks that requests with any shared parts don't go to an instance.
func assertSkipped(t *testing.T, p *Placement, id string) {
	t.Helper()
	for part := range uint64(40) {
		s := choose(t, p, sharedPartRequirements(part))
		assert.Assert(t, s.ID() != id)
		s.End(Served)
	}
}

func TestEvacuatedDomainGetsNothing(t *testing.T) {
	p, evacuated := newDomainPlacement(t, 3)
	evacuated["d-0"] = true
	t.Run("first attempts", func(t *testing.T) { assertSkipped(t, p, "i-0") })
	t.Run("second attempts", func(t *testing.T) {
		_, err := p.Choose(t.Context(), writer, Requirements{Exclude: []string{"i-1", "i-2"}})
		assert.ErrorIs(t, err, ErrNoInstance)
	})
	t.Run("reports are not requested", func(t *testing.T) {
		p.FetchReport = func(context.Context, *upstream.Conn, time.Time) (Report, error) { return Report{}, nil }
		for part := range uint64(20) {
			r := sharedPartRequirements(part)
			r.RequireReport = true
			assert.Assert(t, choose(t, p, r).ID() != "i-0")
		}
	})
	t.Run("until it is taken back", func(t *testing.T) {
		delete(evacuated, "d-0")
		assert.Equal(t, choose(t, p, Requirements{Exclude: []string{"i-1", "i-2"}}).ID(), "i-0")
	})
}

func TestTwoDomainsEvacuated(t *testing.T) {
	p, evacuated := newDomainPlacement(t, 3)
	evacuated["d-0"], evacuated["d-2"] = true, true
	assertSkipped(t, p, "i-0")
	assertSkipped(t, p, "i-2")
}

func TestAllDomainsEvacuated(t *testing.T) {
	p, evacuated := newDomainPlacement(t, 2)
	evacuated["d-0"], evacuated["d-1"] = true, true
	_, err := p.Choose(t.Context(), writer, Requirements{})
	assert.ErrorIs(t, err, ErrNoInstance)
	assert.ErrorIs(t, err, ErrEvacuated)
	t.Run("a pause elsewhere is the nearer reason", func(t *testing.T) {
		delete(evacuated, "d-1")
		sendNotice(p, "i-1", upstream.Notice{PauseFor: paused})
		_, err := p.Choose(t.Context(), writer, Requirements{})
		var all *PausedError
		assert.Assert(t, errors.As(err, &all), "%v", err)
	})
	t.Run("the pause of an instance in an evacuated domain is none", func(t *testing.T) {
		evacuated["d-1"] = true
		_, err := p.Choose(t.Context(), writer, Requirements{})
		assert.ErrorIs(t, err, ErrEvacuated)
	})
}

// TestDomainEvacuatedWhileTheRequestWaits guards against requests that were placed before the evacuation and sent after it.
func TestDomainEvacuatedWhileTheRequestWaits(t *testing.T) {
	p, evacuated := newDomainPlacement(t, 1)
	s := choose(t, p, Requirements{})
	evacuated["d-0"] = true
	_, err := s.Conn(t.Context(), true)
	assert.ErrorIs(t, err, ErrEvacuated)
	assert.Equal(t, runner.RunStateOf(err), answer.NotRun)
}

// TestInstanceWhoseDomainIsCorrected guards against requests to an instance that is announced in another domain than
// before, which is evacuated.
func TestInstanceWhoseDomainIsCorrected(t *testing.T) {
	p, evacuated := newDomainPlacement(t, 1)
	evacuated["d-9"] = true
	p.Update(roster.New([]roster.Instance{{ID: "i-0", Service: writer, FailureDomain: "d-9", Addr: "10.0.0.0:80", Capacity: 8}}))
	_, err := p.Choose(t.Context(), writer, Requirements{})
	assert.ErrorIs(t, err, ErrEvacuated)
}
