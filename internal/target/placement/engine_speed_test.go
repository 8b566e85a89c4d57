package placement

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// assertWithin checks that got is within a factor of want.
func assertWithin(t assert.TestingT, got, want, factor float64) {
	assert.Assert(t, got < want*factor && got > want/factor, "got %v, want about %v", got, want)
}

// TestPaceIsLearnt checks that the estimates converge to the actual speed of an engine, for
// engines of any speed and requests of any length, some of which hang.
func TestPaceIsLearnt(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(5, 500).Draw(rt, "tokens in a millisecond")
		base := rapid.Float64Range(2, 60).Draw(rt, "milliseconds before")
		step := rapid.Float64Range(0.5, 60).Draw(rt, "milliseconds of a step")
		var e speedEstimator
		for n := range 120 {
			// With requests of one length only, prefill time could not be separated from
			// the base time.
			tokens := rapid.Float64Range(100, 4000).Draw(rt, "tokens") + float64(n%4*4000)
			took := base + tokens/rate
			if n%19 == 7 {
				took += 2000
			}
			e.observeFirstEvent(tokens, tokens, time.Duration(took*float64(time.Millisecond)))
			e.observeStream(100, time.Duration(100*step*float64(time.Millisecond)))
		}
		speed := e.speed()
		assertWithin(rt, speed.PrefillRate, rate, 1.6)
		assertWithin(rt, float64(speed.TokenInterval), step*float64(time.Millisecond), 1.01)
		assert.Equal(rt, speed.Samples, 120)
	})
}

func TestPaceBeforeAnswers(t *testing.T) {
	var e speedEstimator
	speed := e.speed()
	assertWithin(t, speed.PrefillRate, priorRate, 1.01)
	assert.Equal(t, speed.TokenInterval, priorStep)
}

func TestPaceIsToldWhenItChanges(t *testing.T) {
	var e speedEstimator
	published := 0
	answer := func(rate, tokens float64) {
		if _, changed := e.observeFirstEvent(tokens, tokens, time.Duration((20+tokens/rate)*float64(time.Millisecond))); changed {
			published++
		}
	}
	for n := range 300 {
		answer(30, float64(100+n%10*900))
	}
	assert.Equal(t, published, 1)
	for n := range 600 {
		answer(120, float64(100+n%10*900))
	}
	assert.Assert(t, published > 1 && published < 12, "engine speed was published %d times", published)
}

// TestLengthIsCountedInTime checks that the same prompt is long for slow engines only. With a
// fixed rate of 30 tokens per millisecond it was classified as long for both.
func TestLengthIsCountedInTime(t *testing.T) {
	for rate, want := range map[float64]bool{30: true, 125: false} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			p := newPlacement(2)
			e := p.services[writer].estimator
			for n := range 60 {
				tokens := float64(500 + 200*n)
				e.observeFirstEvent(tokens, tokens, time.Duration((10+tokens/rate)*float64(time.Millisecond)))
			}
			d := Requirements{InputTokens: 2368, MaxOutputTokens: 40, ExpectedOutputTokens: 24, EventGapGoal: 250 * time.Millisecond}
			assert.Equal(t, d.longPrompt(e.speed()), want)
		})
	}
}

// TestPaceOutlivesAnUpdate checks that the estimated speed of a service survives changes of the roster,
// including one that removes all its instances.
func TestPaceOutlivesAnUpdate(t *testing.T) {
	p := newPlacement(2)
	for range 50 {
		p.services[writer].estimator.observeFirstEvent(9000, 9000, time.Second)
	}
	before := p.EngineSpeeds()[writer]
	p.Update(instances(0))
	p.Update(instances(3))
	assert.Equal(t, p.EngineSpeeds()[writer], before)
	for _, i := range p.services[writer].instances {
		assert.Equal(t, i.estimator, p.services[writer].estimator)
	}
}

// TestUpdateBesideAnswers changes the roster concurrently with answers, for the race detector.
func TestUpdateBesideAnswers(t *testing.T) {
	p := newPlacement(3)
	var updates sync.WaitGroup
	updates.Go(func() {
		for n := range 100 {
			p.Update(instances(3 + n%2))
		}
	})
	for range 100 {
		s := choose(t, p, sharedPartRequirements(7))
		s.AnswerStarted()
		s.End(Served)
	}
	updates.Wait()
}

// TestReadingAgainCostsNoMoreThanTheRequest checks that the cost of prefilling shared parts
// again stays bounded when the caller states parts that are longer than the prompt.
func TestReadingAgainCostsNoMoreThanTheRequest(t *testing.T) {
	var e speedEstimator
	d := Requirements{Parts: []Part{{ID: 7, Tokens: 1 << 40}, {ID: 8}}}
	assert.Equal(t, d.reprefillShare(1<<40, e.speed(), 8), 1.0)
	assert.Equal(t, d.reprefillShare(0, e.speed(), 8), 0.0)
}

// TestReadingAgainCostsItsPart checks that requests with a long shared part stay at the
// instance that has it cached while the wait there costs less than prefilling it elsewhere.
func TestReadingAgainCostsItsPart(t *testing.T) {
	p := newPlacement(6)
	long := Requirements{Parts: []Part{{ID: 7, Tokens: 8000}, {ID: 1007, Tokens: 1000}}, InputTokens: 9000, MaxOutputTokens: 60, ExpectedOutputTokens: 50, LatencyGoal: time.Second}
	owner := assertSameInstance(t, p, long, 0)
	used := make(map[string]int)
	for range 5 {
		used[choose(t, p, long).ID()]++
	}
	assert.Equal(t, used[owner], 5)
	for range 200 {
		used[choose(t, p, long).ID()]++
	}
	assert.Equal(t, len(used), 6)
}
