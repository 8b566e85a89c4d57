package timeout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simulateCall plays one call with the given latency and reports whether it was answered
// before the timeout.
func (e *Estimator) simulateCall(latency time.Duration) bool {
	timeout := e.Timeout()
	if latency > timeout {
		e.ObserveTimeout(timeout)
		return false
	}
	e.ObserveLatency(latency)
	return true
}

func TestSteadyAnswersAreNotWaitedForLong(t *testing.T) {
	var e Estimator
	for range 50 {
		assert.Assert(t, e.simulateCall(12*time.Millisecond))
	}
	assert.Equal(t, e.Timeout(), defaultMinTimeout)
}

func TestSlowAnswersAreWaitedFor(t *testing.T) {
	for _, latency := range []time.Duration{600 * time.Millisecond, 1200 * time.Millisecond, 2500 * time.Millisecond} {
		var e Estimator
		for range 50 {
			e.simulateCall(12 * time.Millisecond)
		}
		timeouts := 0
		for !e.simulateCall(latency) {
			timeouts++
		}
		assert.Assert(t, timeouts <= 4, "%d calls timed out", timeouts)
		for range 20 {
			assert.Assert(t, e.simulateCall(latency), "a call that takes %v timed out again", latency)
		}
	}
}

func TestLimitFallsAgain(t *testing.T) {
	var e Estimator
	for range 5 {
		e.simulateCall(time.Minute)
	}
	assert.Equal(t, e.Timeout(), defaultMaxTimeout)
	for range 60 {
		assert.Assert(t, e.simulateCall(10*time.Millisecond))
	}
	assert.Equal(t, e.Timeout(), defaultMinTimeout)
}

func TestLostAnswersDoNotRaiseTheLimitForGood(t *testing.T) {
	var e Estimator
	for n := range 100 {
		if n%3 == 0 {
			e.ObserveTimeout(e.Timeout())
			continue
		}
		e.ObserveLatency(12 * time.Millisecond)
	}
	assert.Assert(t, e.Timeout() <= 2*defaultMinTimeout)
}

func TestBoundsOfTheOwner(t *testing.T) {
	e := Estimator{MinTimeout: 60 * time.Millisecond, MaxTimeout: 250 * time.Millisecond, InitialTimeout: 60 * time.Millisecond}
	assert.Equal(t, e.Timeout(), 60*time.Millisecond)
	e.ObserveLatency(time.Millisecond)
	assert.Equal(t, e.Timeout(), 60*time.Millisecond)
	e.ObserveLatency(time.Second)
	assert.Equal(t, e.Timeout(), 250*time.Millisecond)
}
