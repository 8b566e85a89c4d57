package pool

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"rosevalve/internal/target/health"
	"rosevalve/internal/workspace/catalogue"
)

var requirements = Requirements{Model: "oak", Urgent: true, Tokens: 10}

// engines returns n targets with the model oak.
func engines(n int) []catalogue.Target {
	var out []catalogue.Target
	for i := range n {
		out = append(out, catalogue.Target{Addr: fmt.Sprintf("10.0.0.%d:80", i+1), Models: []string{"oak"}})
	}
	return out
}

// countReservations reserves and releases n slots, one after another, and counts them by target.
func countReservations(t *testing.T, p *Pool, n int) map[string]int {
	t.Helper()
	out := make(map[string]int)
	for range n {
		slot, err := p.Reserve(requirements)
		assert.NilError(t, err)
		out[slot.Addr()]++
		slot.Release()
	}
	return out
}

func TestLeavingTargetsGetNoNewWork(t *testing.T) {
	first := engines(2)[0].Addr
	for name, leave := range map[string]func(p *Pool){
		"nothing leaves": func(*Pool) {},
		"configuration": func(p *Pool) {
			targets := engines(2)
			targets[0].Leaving = true
			p.SetTargets(targets)
		},
		"removed":               func(p *Pool) { p.SetTargets(engines(2)[1:]) },
		"VM list":               func(p *Pool) { p.SetLeavingVMs(map[string]bool{"10.0.0.1": true}) },
		"VM list, with port":    func(p *Pool) { p.SetLeavingVMs(map[string]bool{first: true}) },
		"VM list, then changed": func(p *Pool) { p.SetLeavingVMs(map[string]bool{first: true}); p.SetTargets(engines(2)) },
	} {
		t.Run(name, func(t *testing.T) {
			p := &Pool{}
			p.SetTargets(engines(2))
			stream, err := p.Reserve(Requirements{Model: "oak", Urgent: true, Exclude: map[string]bool{"10.0.0.2:80": true}})
			assert.NilError(t, err)
			leave(p)
			// A running stream continues on the leaving target.
			stream.ObserveToken()
			stream.SetOutcome(Succeeded)
			stream.Release()
			// The case in which nothing leaves proves that the check can detect new work.
			assert.Equal(t, countReservations(t, p, 100)[first] > 0, name == "nothing leaves")
		})
	}
}

func TestLeavingIsTakenBack(t *testing.T) {
	p := &Pool{}
	p.SetTargets(engines(2))
	p.SetLeavingVMs(map[string]bool{"10.0.0.1": true})
	p.SetLeavingVMs(nil)
	assert.Assert(t, countReservations(t, p, 100)["10.0.0.1:80"] > 0)
}

// reportAtFirst reserves a slot at the first of two engines, reports the outcome and
// releases the slot.
func reportAtFirst(t *testing.T, p *Pool, o Outcome) {
	t.Helper()
	r := requirements
	r.Exclude = map[string]bool{"10.0.0.2:80": true}
	slot, err := p.Reserve(r)
	assert.NilError(t, err)
	slot.SetOutcome(o)
	slot.Release()
}

func TestFailingTargetIsEjectedAndComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var answers atomic.Bool
		p := &Pool{Probe: func(catalogue.Target) error {
			if answers.Load() {
				return nil
			}
			return errors.New("no answer")
		}}
		p.SetTargets(engines(2))
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = p.Run(ctx) }()
		reportAtFirst(t, p, Unreachable)
		assert.Equal(t, countReservations(t, p, 100)["10.0.0.1:80"], 0)
		time.Sleep(10 * time.Second)
		assert.Equal(t, countReservations(t, p, 100)["10.0.0.1:80"], 0)
		answers.Store(true)
		time.Sleep(20 * time.Second)
		synctest.Wait()
		assert.Assert(t, countReservations(t, p, 100)["10.0.0.1:80"] > 0)
		reportAtFirst(t, p, Succeeded)
		assert.Equal(t, p.State()[0].Breaker, health.Closed.String())
		cancel()
	})
}

func TestSoftFailuresEjectAfterThree(t *testing.T) {
	p := &Pool{}
	p.SetTargets(engines(2))
	reportAtFirst(t, p, Failed)
	reportAtFirst(t, p, Failed)
	assert.Assert(t, countReservations(t, p, 100)["10.0.0.1:80"] > 0)
	reportAtFirst(t, p, Failed)
	assert.Equal(t, countReservations(t, p, 100)["10.0.0.1:80"], 0)
}

func TestSilentEngineIsAvoidedBeforeItFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Pool{SilenceTimeout: 2 * time.Second}
		p.SetTargets(engines(2))
		r := requirements
		r.Exclude = map[string]bool{"10.0.0.2:80": true}
		stuck, err := p.Reserve(r)
		assert.NilError(t, err)
		time.Sleep(3 * time.Second)
		other := Requirements{Model: "oak", Urgent: true, Tokens: 100, Exclude: map[string]bool{"10.0.0.1:80": true}}
		busy, err := p.Reserve(other)
		assert.NilError(t, err)
		busy.ObserveToken()
		assert.Equal(t, countReservations(t, p, 100)["10.0.0.1:80"], 0)
		stuck.ObserveToken()
		assert.Assert(t, countReservations(t, p, 100)["10.0.0.1:80"] > 0)
		stuck.Release()
		busy.Release()
	})
}

func TestWrongHintsBreakNothing(t *testing.T) {
	p := &Pool{}
	p.SetTargets(engines(2))
	p.ReportLoad("10.0.0.1:80", 1<<40)
	p.ReportLoad("10.9.9.9:80", 5)
	p.ReportCache("10.0.0.1:80", 7, true)
	p.ReportCache("10.0.0.1:80", 8, false)
	reportAtFirst(t, p, Unreachable)
	r := requirements
	r.Prefix = 7
	slot, err := p.Reserve(r)
	assert.NilError(t, err)
	assert.Equal(t, slot.Addr(), "10.0.0.2:80")
	slot.Release()
}

func TestLimitIsLearnt(t *testing.T) {
	now := time.Unix(1, 0)
	l := health.NewLimit(health.LimitConfig{Initial: 16})
	for range 200 {
		l.ObserveTokenGap(now, 20*time.Millisecond, l.Value())
	}
	grown := l.Value()
	assert.Assert(t, grown > 16)
	for i := range 5 {
		l.ObserveTokenGap(now.Add(time.Duration(i)*time.Second), 100*time.Millisecond, 1)
	}
	assert.Assert(t, l.Value() < grown)
	unused := l.Value()
	for range 200 {
		l.ObserveDone(now, 0)
	}
	assert.Equal(t, l.Value(), unused)
}

func BenchmarkPick(b *testing.B) {
	p := &Pool{}
	p.SetTargets(engines(32))
	for b.Loop() {
		slot, err := p.Reserve(requirements)
		if err != nil {
			b.Fatal(err)
		}
		slot.Release()
	}
}
