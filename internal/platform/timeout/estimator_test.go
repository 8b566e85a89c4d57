package timeout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simulateCall plays one call with the given latency and reports whether it was answered
// before the timeout.
func (m *Estimator) simulateCall(latency time.Duration) bool {
	timeout := m.Timeout()
	if latency > timeout {
		m.ObserveTimeout(timeout)
		return false
	}
	m.ObserveLatency(latency)
	return true
}

func TestSteadyAnswersAreNotWaitedForLong(t *testing.T) {
	var m Estimator
	for range 50 {
		assert.Assert(t, m.simulateCall(12*time.Millisecond))
	}
	assert.Equal(t, m.Timeout(), defaultMinTimeout)
}

func TestSlowAnswersAreWaitedFor(t *testing.T) {
	for _, latency := range []time.Duration{600 * time.Millisecond, 1200 * time.Millisecond, 2500 * time.Millisecond} {
		var m Estimator
		for range 50 {
			m.simulateCall(12 * time.Millisecond)
		}
		timeouts := 0
		for !m.simulateCall(latency) {
			timeouts++
		}
		assert.Assert(t, timeouts <= 4, "%d calls timed out", timeouts)
		for range 20 {
			assert.Assert(t, m.simulateCall(latency), "a call that takes %v timed out again", latency)
		}
	}
}

func TestLimitFallsAgain(t *testing.T) {
	var m Estimator
	for range 5 {
		m.simulateCall(time.Minute)
	}
	assert.Equal(t, m.Timeout(), defaultMaxTimeout)
	for range 60 {
		assert.Assert(t, m.simulateCall(10*time.Millisecond))
	}
	assert.Equal(t, m.Timeout(), defaultMinTimeout)
}

func TestLostAnswersDoNotRaiseTheLimitForGood(t *testing.T) {
	var m Estimator
	for n := range 100 {
		if n%3 == 0 {
			m.ObserveTimeout(m.Timeout())
			continue
		}
		m.ObserveLatency(12 * time.Millisecond)
	}
	assert.Assert(t, m.Timeout() <= 2*defaultMinTimeout)
}

func TestBoundsOfTheOwner(t *testing.T) {
	m := Estimator{MinTimeout: 60 * time.Millisecond, MaxTimeout: 250 * time.Millisecond, InitialTimeout: 60 * time.Millisecond}
	assert.Equal(t, m.Timeout(), 60*time.Millisecond)
	m.ObserveLatency(time.Millisecond)
	assert.Equal(t, m.Timeout(), 60*time.Millisecond)
	m.ObserveLatency(time.Second)
	assert.Equal(t, m.Timeout(), 250*time.Millisecond)
}
