package patience

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simulateCall plays one call with the given latency and reports whether it was answered
// before the timeout.
func (m *Meter) simulateCall(latency time.Duration) bool {
	timeout := m.Limit()
	if latency > timeout {
		m.Missed(timeout)
		return false
	}
	m.Answered(latency)
	return true
}

func TestSteadyAnswersAreNotWaitedForLong(t *testing.T) {
	var m Meter
	for range 50 {
		assert.Assert(t, m.simulateCall(12*time.Millisecond))
	}
	assert.Equal(t, m.Limit(), defaultMinTimeout)
}

func TestSlowAnswersAreWaitedFor(t *testing.T) {
	for _, latency := range []time.Duration{600 * time.Millisecond, 1200 * time.Millisecond, 2500 * time.Millisecond} {
		var m Meter
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
	var m Meter
	for range 5 {
		m.simulateCall(time.Minute)
	}
	assert.Equal(t, m.Limit(), defaultMaxTimeout)
	for range 60 {
		assert.Assert(t, m.simulateCall(10*time.Millisecond))
	}
	assert.Equal(t, m.Limit(), defaultMinTimeout)
}

func TestLostAnswersDoNotRaiseTheLimitForGood(t *testing.T) {
	var m Meter
	for n := range 100 {
		if n%3 == 0 {
			m.Missed(m.Limit())
			continue
		}
		m.Answered(12 * time.Millisecond)
	}
	assert.Assert(t, m.Limit() <= 2*defaultMinTimeout)
}

func TestBoundsOfTheOwner(t *testing.T) {
	m := Meter{Least: 60 * time.Millisecond, Most: 250 * time.Millisecond, First: 60 * time.Millisecond}
	assert.Equal(t, m.Limit(), 60*time.Millisecond)
	m.Answered(time.Millisecond)
	assert.Equal(t, m.Limit(), 60*time.Millisecond)
	m.Answered(time.Second)
	assert.Equal(t, m.Limit(), 250*time.Millisecond)
}
