package placement

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// assertWithin checks that a figure is within a factor of what it should be.
func assertWithin(t assert.TestingT, got, want, factor float64) {
	assert.Assert(t, got < want*factor && got > want/factor, "got %v, want about %v", got, want)
}

// TestPaceIsLearnt lets engines of any speed answer requests of any length, some of which
// hang, and compares what is learnt with the engine.
func TestPaceIsLearnt(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(5, 500).Draw(rt, "tokens in a millisecond")
		base := rapid.Float64Range(2, 60).Draw(rt, "milliseconds before")
		step := rapid.Float64Range(0.5, 60).Draw(rt, "milliseconds of a step")
		var l learner
		for n := range 120 {
			// Requests of one length alone would not tell reading from the rest.
			tokens := rapid.Float64Range(100, 4000).Draw(rt, "tokens") + float64(n%4*4000)
			took := base + tokens/rate
			if n%19 == 7 {
				took += 2000
			}
			l.began(tokens, tokens, time.Duration(took*float64(time.Millisecond)))
			l.streamed(100, time.Duration(100*step*float64(time.Millisecond)))
		}
		pace := l.pace()
		assertWithin(rt, pace.ReadRate, rate, 1.6)
		assertWithin(rt, float64(pace.Step), step*float64(time.Millisecond), 1.01)
		assert.Equal(rt, pace.Samples, 120)
	})
}

func TestPaceBeforeAnswers(t *testing.T) {
	var l learner
	pace := l.pace()
	assertWithin(t, pace.ReadRate, priorRate, 1.01)
	assert.Equal(t, pace.Step, priorStep)
}

func TestPaceIsToldWhenItChanges(t *testing.T) {
	var l learner
	told := 0
	answer := func(rate, tokens float64) {
		if _, changed := l.began(tokens, tokens, time.Duration((20+tokens/rate)*float64(time.Millisecond))); changed {
			told++
		}
	}
	for n := range 300 {
		answer(30, float64(100+n%10*900))
	}
	assert.Equal(t, told, 1)
	for n := range 600 {
		answer(120, float64(100+n%10*900))
	}
	assert.Assert(t, told > 1 && told < 12, "told %d times", told)
}

// TestLengthIsCountedInTime shows that the same prompt is long for slow engines only. By a
// fixed rate of 30 tokens in a millisecond it was long for both.
func TestLengthIsCountedInTime(t *testing.T) {
	for rate, want := range map[float64]bool{30: true, 125: false} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			p := placement(2)
			l := p.services[writer].learner
			for n := range 60 {
				tokens := float64(500 + 200*n)
				l.began(tokens, tokens, time.Duration((10+tokens/rate)*float64(time.Millisecond)))
			}
			note := Demand{Input: 2368, MaxOutput: 40, LikelyOutput: 24, EventGap: 250 * time.Millisecond}
			assert.Equal(t, note.long(l.pace()), want)
		})
	}
}

// TestPaceOutlivesAnUpdate keeps what is learnt when the roster changes.
func TestPaceOutlivesAnUpdate(t *testing.T) {
	p := placement(2)
	for range 50 {
		p.services[writer].learner.began(9000, 9000, time.Second)
	}
	before := p.Paces()[writer]
	p.Update(instances(0))
	p.Update(instances(3))
	assert.Equal(t, p.Paces()[writer], before)
	for _, i := range p.services[writer].instances {
		assert.Equal(t, i.learner, p.services[writer].learner)
	}
}

// TestUpdateBesideAnswers changes the roster while answers begin, for the race detector.
func TestUpdateBesideAnswers(t *testing.T) {
	p := placement(3)
	var updates sync.WaitGroup
	updates.Go(func() {
		for n := range 100 {
			p.Update(instances(3 + n%2))
		}
	})
	for range 100 {
		s := choose(t, p, prompt(7))
		s.Answering()
		s.End(Served)
	}
	updates.Wait()
}

// TestReadingAgainCostsNoMoreThanTheRequest reads parts that are longer than the prompt, as
// a caller may tell.
func TestReadingAgainCostsNoMoreThanTheRequest(t *testing.T) {
	var l learner
	d := Demand{Parts: []Part{{ID: 7, Tokens: 1 << 40}, {ID: 8}}}
	assert.Equal(t, d.reread(1<<40, l.pace(), 8), 1.0)
	assert.Equal(t, d.reread(0, l.pace(), 8), 0.0)
}

// TestReadingAgainCostsItsPart keeps a long shared part where it was read as long as the
// wait there is shorter than what the reading takes from others.
func TestReadingAgainCostsItsPart(t *testing.T) {
	p := placement(6)
	long := Demand{Parts: []Part{{ID: 7, Tokens: 8000}, {ID: 1007, Tokens: 1000}}, Input: 9000, MaxOutput: 60, LikelyOutput: 50, Goal: time.Second}
	owner := assertStays(t, p, long, 0)
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
