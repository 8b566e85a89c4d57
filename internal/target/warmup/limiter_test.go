package warmup

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// evenShare is a limit without owners, which gives each router the same share and one request at once.
func evenShare(_ Bounds, rate float64, routers int) share {
	return share{owners: routers, pace: time.Duration(float64(routers) / rate * float64(time.Second))}
}

// perSecond returns how many requests a second were sent in the time since the end of newSim.
func (s *sim) perSecond(d time.Duration) float64 { return float64(len(s.sent)) / d.Seconds() }

// TestColdTargetIsUsedWithinItsRate checks fleets in calm: the target gets most of its rate, and
// nothing above the bound.
func TestColdTargetIsUsedWithinItsRate(t *testing.T) {
	for _, n := range []int{1, 2, 3, 7, 58, 300, 1100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			s := newSim(n+3, nil)
			if n < 3 {
				s = newSmallSim(n)
			}
			s.run(10 * time.Second)
			assert.NilError(t, s.check())
			assert.Assert(t, s.perSecond(10*time.Second) > 0.7*coldRate, "%.1f requests a second", s.perSecond(10*time.Second))
			assert.Assert(t, s.perSecond(10*time.Second) < 1.1*coldRate, "%.1f requests a second", s.perSecond(10*time.Second))
		})
	}
}

// newSmallSim returns a fleet of n routers without other seeds.
func newSmallSim(n int) *sim {
	return newSim(n, func(l *Limiter) { l.Seeds = nil })
}

// TestEvenSharesBreakTheBound shows why there are owners: with even shares all routers send at once.
func TestEvenSharesBreakTheBound(t *testing.T) {
	for _, n := range []int{58, 300} {
		s := newSim(n, func(l *Limiter) { l.divide = evenShare })
		for _, r := range s.routers {
			r.limiter.targets[instance].lastTaken = time.Time{}
		}
		s.run(5 * time.Second)
		assert.ErrorContains(t, s.check(), "requests in one second")
	}
}

// trouble draws what happens to a fleet, one thing after the other or several at once.
func trouble(rt *rapid.T, s *sim, random *rand.Rand) {
	var down, frozen []*router
	for range rapid.IntRange(1, 6).Draw(rt, "steps") {
		switch rapid.IntRange(0, 7).Draw(rt, "step") {
		case 0:
			hit := s.some(rapid.Float64Range(0, 1).Draw(rt, "killed"), random)
			s.kill(hit)
			down = append(down, hit...)
		case 1:
			for _, r := range down {
				s.start(r)
			}
			down = nil
		case 2:
			for range rapid.IntRange(1, len(s.routers)/4).Draw(rt, "joined") {
				s.add(random.IntN(2))
			}
		case 3:
			s.cut(2, random)
		case 4:
			s.heal()
		case 5:
			hit := s.some(rapid.Float64Range(0, 0.5).Draw(rt, "frozen"), random)
			s.freeze(hit)
			frozen = append(frozen, hit...)
		case 6:
			s.wake(frozen)
			frozen = nil
		}
		s.run(time.Duration(rapid.IntRange(1, 140).Draw(rt, "steps of time")) * step)
	}
}

// TestBoundHoldsInTrouble checks fleets whose routers are killed, restarted, added, frozen and cut into
// two sides, again and again.
func TestBoundHoldsInTrouble(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rapid.SampledFrom([]int{4, 8, 58}).Draw(rt, "routers"), nil)
		trouble(rt, s, rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)))
		assert.NilError(rt, s.check())
	})
}

// TestBoundHoldsInLargeFleet checks the designed size: a third is killed and comes back, a third is
// added at once, and the fleet is cut.
func TestBoundHoldsInLargeFleet(t *testing.T) {
	s := newSim(1100, nil)
	random := rand.New(rand.NewPCG(53, 1))
	hit := s.some(0.3, random)
	s.kill(hit)
	s.run(2 * time.Second)
	for _, r := range hit {
		s.start(r)
	}
	for range 300 {
		s.add(random.IntN(2))
	}
	s.cut(2, random)
	s.run(12 * time.Second)
	s.heal()
	s.run(3 * time.Second)
	assert.NilError(t, s.check())
}

// noSeeds makes a router know of no seeds, so that only the other mechanisms count.
func noSeeds(l *Limiter) { l.Seeds = nil }

// TestMechanismsAreNeeded shows for each mechanism a history in which the bound breaks without it, and
// holds with it.
func TestMechanismsAreNeeded(t *testing.T) {
	for _, test := range []struct {
		name    string
		on, off func(l *Limiter)
		history func(s *sim)
	}{
		{
			"routers that are away keep their rank", noSeeds, func(l *Limiter) { l.Seeds, l.fleet.retention = nil, time.Millisecond },
			func(s *sim) {
				s.cut(4, rand.New(rand.NewPCG(7, 1)))
				s.run(12 * time.Second)
			},
		},
		{
			"routers settle after their start", noSeeds, func(l *Limiter) { l.Seeds, l.fleet.settle = nil, time.Millisecond },
			func(s *sim) {
				for range 40 {
					s.add(0)
				}
				s.run(5 * time.Second)
			},
		},
		{
			"routers settle after a pause", noSeeds, func(l *Limiter) { l.Seeds, l.fleet.maxGap = nil, time.Hour },
			func(s *sim) {
				old := s.routers
				s.freeze(old)
				for n := range 400 {
					s.add(n % 2)
				}
				s.run(settleTime + 5*time.Second)
				s.wake(old)
				s.run(2 * time.Second)
			},
		},
		{
			"routers that meet no seed do not count", nil, func(l *Limiter) { l.Seeds = nil },
			func(s *sim) {
				for n := range 40 {
					s.add(n + 1)
				}
				s.run(settleTime + 5*time.Second)
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			with, without := newSim(58, test.on), newSim(58, test.off)
			test.history(with)
			test.history(without)
			assert.NilError(t, with.check())
			assert.ErrorContains(t, without.check(), "requests in one second")
		})
	}
}

// lone returns a settled limiter of a router without others, and its time.
func lone() (*Limiter, time.Time) {
	s := newSmallSim(1)
	l := s.routers[0].limiter
	l.targets = nil
	l.count.Store(0)
	return l, s.now
}

func TestToldTimeNeverShortens(t *testing.T) {
	l, now := lone()
	l.Announced(service, instance, now.Add(3*time.Second), now)
	l.Announced(service, instance, now.Add(time.Second), now)
	l.Answered(service, instance, 0, now)
	assert.Equal(t, l.targets[instance].coldUntil(), now.Add(3*time.Second))
}

func TestFigureThatCannotBeMeantIsBounded(t *testing.T) {
	l, now := lone()
	l.Announced(service, instance, now.Add(300*time.Hour), now)
	assert.Equal(t, l.targets[instance].coldUntil(), now.Add(12*time.Second))
	l.Announced(service, instance, now.Add(-time.Hour), now)
	assert.Equal(t, l.targets[instance].coldUntil(), now.Add(12*time.Second))
}

// TestPresumedCold checks when a target that may have restarted counts as cold, and what ends that.
func TestPresumedCold(t *testing.T) {
	coldAfter := func(t *testing.T, act func(l *Limiter, now time.Time), after time.Duration) bool {
		t.Helper()
		l, now := lone()
		l.Presume(service, instance, now)
		assert.Assert(t, l.targets[instance].coldUntil().After(now))
		act(l, now)
		return l.targets[instance].coldUntil().After(now.Add(after))
	}
	t.Run("until its announcement may have come", func(t *testing.T) {
		nothing := func(*Limiter, time.Time) {}
		assert.Assert(t, coldAfter(t, nothing, 7*time.Second))
		assert.Assert(t, !coldAfter(t, nothing, 9*time.Second))
	})
	t.Run("until it says that it is not", func(t *testing.T) {
		assert.Assert(t, !coldAfter(t, func(l *Limiter, now time.Time) { l.Answered(service, instance, 0, now) }, 0))
	})
	t.Run("until it has served on an old connection", func(t *testing.T) {
		assert.Assert(t, !coldAfter(t, func(l *Limiter, now time.Time) { l.Served(service, instance, now.Add(-4*time.Second), now) }, 0))
	})
	t.Run("not until it has served on a new connection", func(t *testing.T) {
		assert.Assert(t, coldAfter(t, func(l *Limiter, now time.Time) { l.Served(service, instance, now.Add(-time.Second), now) }, 0))
	})
}

// TestNoRateNoLimit checks that nothing is limited for services whose configuration has no cold rate, nor
// without a limiter.
func TestNoRateNoLimit(t *testing.T) {
	l, now := lone()
	l.Rate = func(string) Rate { return Rate{} }
	before := l.Counts(now).Sent
	l.Presume(service, instance, now)
	l.Announced(service, instance, now.Add(time.Minute), now)
	for range 100 {
		assert.Assert(t, !l.Withheld(service, instance, now))
		assert.Assert(t, l.Take(service, instance, now))
	}
	assert.Equal(t, l.Counts(now).Sent, before)
	var none *Limiter
	none.Presume(service, instance, now)
	none.Observe(now)
	assert.Assert(t, none.Take(service, instance, now))
}

// TestChangesAreReported checks that one change is reported when a target becomes cold and one when it is
// warm, and that its state is then dropped.
func TestChangesAreReported(t *testing.T) {
	l, now := lone()
	var changes []Change
	l.OnChange = func(c Change) { changes = append(changes, c) }
	l.Announced(service, instance, now.Add(2*time.Second), now)
	l.Announced(service, instance, now.Add(3*time.Second), now)
	assert.Assert(t, l.Take(service, instance, now))
	assert.Equal(t, l.Counts(now).Cold, 1)
	for n := range 8 {
		l.Observe(now.Add(time.Duration(n) * time.Second))
	}
	assert.Equal(t, len(changes), 2)
	assert.Assert(t, changes[0].Cold && changes[0].Owner && !changes[0].Presumed)
	assert.Assert(t, !changes[1].Cold)
	assert.Equal(t, changes[1].Sent, 1)
	assert.Equal(t, len(l.targets), 0)
}

// TestShares checks the shares of all rates, bounds and sizes: the owners of one group keep to the rate,
// and those of two to the bound if that allows any.
func TestShares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(1e-9, 1e6).Draw(rt, "rate")
		b := Bounds{Overshoot: rapid.Float64Range(1, 10).Draw(rt, "overshoot"), Slack: rapid.Float64Range(0, 1000).Draw(rt, "slack")}
		s := b.divide(rate, rapid.IntRange(1, 2000).Draw(rt, "routers"))
		assert.Assert(rt, s.owners >= 1 && s.pace > 0)
		sum := float64(s.owners) / s.pace.Seconds()
		assert.Assert(rt, sum <= max(rate, 1/maxPace.Seconds())*1.001, "%v", s)
		if bound := rate*b.Overshoot + b.Slack; bound >= groups {
			inWindow := float64(s.owners) * (float64(time.Second/s.pace) + 1)
			assert.Assert(rt, groups*inWindow <= bound+groups*float64(s.owners)*0.001+1e-6 || s.pace > window, "%v: %f of %f", s, groups*inWindow, bound)
		}
	})
}
