package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// newRetryBudget returns a retry budget that has just started, with no ratio and a slack of 100
// that is shared by the number of routers.
func newRetryBudget(routers int) *RetryBudget {
	r := &RetryBudget{
		Limits: func() (float64, float64) { return 0, 100 },
		Window: 10 * time.Second,
	}
	r.SetRouterCount(routers)
	return r
}

// allowedRetries uses up the budget and returns the number of retries that it allowed.
func allowedRetries(r *RetryBudget) int {
	n := 0
	for r.AllowRetry("s") {
		n++
	}
	return n
}

func TestSlackIsSharedWithRoutersThatAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRetryBudget(5)
		time.Sleep(startupPeriod)
		assert.Equal(t, allowedRetries(r), 16)
		r.SetRouterCount(1)
		assert.Equal(t, allowedRetries(r), 0)
		time.Sleep(time.Minute)
		assert.Equal(t, allowedRetries(r), 16)
	})
}

func TestSlackOfRoutersThatAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRetryBudget(5)
		for range 3 {
			time.Sleep(fleetSizeRetention)
			r.SetRouterCount(2)
		}
		assert.Equal(t, allowedRetries(r), 40)
	})
}

func TestLittleSlackBeforeOthersAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRetryBudget(1)
		assert.Equal(t, allowedRetries(r), startupRetries)
		time.Sleep(startupPeriod)
		r.SetRouterCount(4)
		assert.Equal(t, allowedRetries(r), 20-startupRetries)
	})
}

func TestRatioOfFirstSendings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRetryBudget(1)
		r.Limits = func() (float64, float64) { return 0.2, 0 }
		for range 100 {
			r.CountFirstAttempt("s")
		}
		assert.Equal(t, allowedRetries(r), 16)
		time.Sleep(2 * r.Window)
		assert.Equal(t, allowedRetries(r), 0)
	})
}
