package quota_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/workspace/catalogue"
	"rosevalve/internal/workspace/quota"
)

const (
	routers       = 3 // in the fleet of checkLimit
	perMinute     = 600
	duration      = 5 * time.Minute       // of the load in checkLimit
	interval      = 10 * time.Millisecond // between requests; 6,000 per minute, ten times the limit
	burstRequests = perMinute / 6         // capacity of a bucket, which holds 10 s of the limit
)

func newLimiter(routers int) *quota.Limiter {
	return &quota.Limiter{Routers: func() int { return routers }}
}

// checkLimit sends more requests than the limit to a fleet of routers that each count
// aliveRouters routers. It returns an error if too many or too few tokens were admitted.
func checkLimit(aliveRouters int, w catalogue.Workspace, tokens, limit int64) error {
	var fleet [routers]*quota.Limiter
	for i := range fleet {
		fleet[i] = newLimiter(aliveRouters)
	}
	var admitted int64
	for n := range int(duration / interval) {
		if fleet[n%routers].Admit(w, tokens) == nil {
			admitted += tokens
			fleet[n%routers].Release(w.Name)
		}
		time.Sleep(interval)
	}
	allowed := limit*int64(duration/time.Minute) + limit/6 // including one burst
	if admitted > allowed+routers*tokens || admitted < allowed*9/10 {
		return fmt.Errorf("%d admitted, %d allowed", admitted, allowed)
	}
	return nil
}

func TestLimitIsKept(t *testing.T) {
	tests := map[string]struct {
		workspace catalogue.Workspace
		tokens    int64
	}{
		"requests": {catalogue.Workspace{Name: "w", RequestsPerMinute: perMinute}, 1},
		"tokens":   {catalogue.Workspace{Name: "w", TokensPerMinute: perMinute}, 7},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				assert.NilError(t, checkLimit(routers, test.workspace, test.tokens, perMinute))
			})
		})
		t.Run(name+" without shares", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				assert.ErrorContains(t, checkLimit(1, test.workspace, test.tokens, perMinute), "admitted")
			})
		})
		t.Run(name+" without limits", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				assert.ErrorContains(t, checkLimit(routers, catalogue.Workspace{Name: "w"}, test.tokens, perMinute), "admitted")
			})
		})
	}
}

// assertRefused checks that a request is refused now, refused just before its RetryAfter,
// and admitted after it.
func assertRefused(t *testing.T, l *quota.Limiter, w catalogue.Workspace, tokens int64) {
	t.Helper()
	fail := l.Admit(w, tokens)
	assert.Assert(t, fail != nil)
	assert.Equal(t, fail.Status, 429)
	assert.Equal(t, fail.Code, "rate_limited")
	assert.Equal(t, fail.Run, answer.NotRun)
	assert.Assert(t, fail.RetryAfter > 0)
	time.Sleep(fail.RetryAfter - time.Millisecond)
	assert.Assert(t, l.Admit(w, tokens) != nil)
	time.Sleep(time.Millisecond)
	assert.Assert(t, l.Admit(w, tokens) == nil)
}

func TestRefusalTellsWhenToComeBack(t *testing.T) {
	t.Run("after a burst of requests", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			l, w := newLimiter(1), catalogue.Workspace{Name: "w", RequestsPerMinute: perMinute}
			for range burstRequests {
				assert.Assert(t, l.Admit(w, 1) == nil)
			}
			assertRefused(t, l, w, 1)
		})
	})
	t.Run("after a request larger than the burst", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			l, w := newLimiter(1), catalogue.Workspace{Name: "w", TokensPerMinute: perMinute}
			assert.Assert(t, l.Admit(w, 3*burstRequests) == nil)
			assertRefused(t, l, w, 3*burstRequests)
		})
	})
	t.Run("with a share of less than a request a minute", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			l, w := newLimiter(2*perMinute), catalogue.Workspace{Name: "w", RequestsPerMinute: perMinute}
			assert.Assert(t, l.Admit(w, 1) == nil)
			assertRefused(t, l, w, 1)
		})
	})
}

func TestRefusalTakesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, w := newLimiter(1), catalogue.Workspace{Name: "w", RequestsPerMinute: 6, TokensPerMinute: 60_000}
		assert.Assert(t, l.Admit(w, 10_000) == nil)
		time.Sleep(10 * time.Second)
		assert.Assert(t, l.Admit(w, 1) == nil)
		for range 100 {
			assert.Assert(t, l.Admit(w, 1) != nil, "the request limit is exhausted")
		}
		time.Sleep(10 * time.Second)
		assert.Assert(t, l.Admit(w, 10_000) == nil)
	})
}

func TestRequestsInFlight(t *testing.T) {
	l, w := newLimiter(1), catalogue.Workspace{Name: "w", MaxConcurrent: 2}
	assert.Assert(t, l.Admit(w, 1) == nil)
	assert.Assert(t, l.Admit(w, 1) == nil)
	fail := l.Admit(w, 1)
	assert.Assert(t, fail != nil && fail.RetryAfter > 0)
	assert.Assert(t, l.Admit(catalogue.Workspace{Name: "other", MaxConcurrent: 1}, 1) == nil)
	l.Release(w.Name)
	assert.Assert(t, l.Admit(w, 1) == nil)
}
