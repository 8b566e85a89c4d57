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
	routers   = 3
	perMinute = 600
	lasts     = 5 * time.Minute
	interval  = 10 * time.Millisecond // ten times the limit
	perBurst  = perMinute / 6
)

func newQuota(routers int) *quota.Quota {
	return &quota.Quota{Routers: func() int { return routers }}
}

// checkLimit offers a small fleet more than the limit, and reports whether too much or too little passed.
func checkLimit(believed int, w catalogue.Workspace, tokens, limit int64) error {
	var fleet [routers]*quota.Quota
	for i := range fleet {
		fleet[i] = newQuota(believed)
	}
	var passed int64
	for n := range int(lasts / interval) {
		if fleet[n%routers].Take(w, tokens) == nil {
			passed += tokens
			fleet[n%routers].Done(w.Name)
		}
		time.Sleep(interval)
	}
	allowed := limit*int64(lasts/time.Minute) + limit/6 // with one burst
	if passed > allowed+routers*tokens || passed < allowed*9/10 {
		return fmt.Errorf("%d passed, %d allowed", passed, allowed)
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
				assert.ErrorContains(t, checkLimit(1, test.workspace, test.tokens, perMinute), "passed")
			})
		})
		t.Run(name+" without limits", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				assert.ErrorContains(t, checkLimit(routers, catalogue.Workspace{Name: "w"}, test.tokens, perMinute), "passed")
			})
		})
	}
}

// assertRefused checks a refusal, comes back too early, and comes back when it was told to.
func assertRefused(t *testing.T, q *quota.Quota, w catalogue.Workspace, tokens int64) {
	t.Helper()
	fail := q.Take(w, tokens)
	assert.Assert(t, fail != nil)
	assert.Equal(t, fail.Status, 429)
	assert.Equal(t, fail.Code, "rate_limited")
	assert.Equal(t, fail.Run, answer.NotRun)
	assert.Assert(t, fail.RetryAfter > 0)
	time.Sleep(fail.RetryAfter - time.Millisecond)
	assert.Assert(t, q.Take(w, tokens) != nil)
	time.Sleep(time.Millisecond)
	assert.Assert(t, q.Take(w, tokens) == nil)
}

func TestRefusalTellsWhenToComeBack(t *testing.T) {
	t.Run("after a burst of requests", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			q, w := newQuota(1), catalogue.Workspace{Name: "w", RequestsPerMinute: perMinute}
			for range perBurst {
				assert.Assert(t, q.Take(w, 1) == nil)
			}
			assertRefused(t, q, w, 1)
		})
	})
	t.Run("after a request larger than the burst", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			q, w := newQuota(1), catalogue.Workspace{Name: "w", TokensPerMinute: perMinute}
			assert.Assert(t, q.Take(w, 3*perBurst) == nil)
			assertRefused(t, q, w, 3*perBurst)
		})
	})
	t.Run("with a share of less than a request a minute", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			q, w := newQuota(2*perMinute), catalogue.Workspace{Name: "w", RequestsPerMinute: perMinute}
			assert.Assert(t, q.Take(w, 1) == nil)
			assertRefused(t, q, w, 1)
		})
	})
}

func TestRefusalTakesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, w := newQuota(1), catalogue.Workspace{Name: "w", RequestsPerMinute: 6, TokensPerMinute: 60_000}
		assert.Assert(t, q.Take(w, 10_000) == nil)
		time.Sleep(10 * time.Second)
		assert.Assert(t, q.Take(w, 1) == nil)
		for range 100 {
			assert.Assert(t, q.Take(w, 1) != nil, "the request limit is used up")
		}
		time.Sleep(10 * time.Second)
		assert.Assert(t, q.Take(w, 10_000) == nil)
	})
}

func TestRequestsInFlight(t *testing.T) {
	q, w := newQuota(1), catalogue.Workspace{Name: "w", MaxConcurrent: 2}
	assert.Assert(t, q.Take(w, 1) == nil)
	assert.Assert(t, q.Take(w, 1) == nil)
	fail := q.Take(w, 1)
	assert.Assert(t, fail != nil && fail.RetryAfter > 0)
	assert.Assert(t, q.Take(catalogue.Workspace{Name: "other", MaxConcurrent: 1}, 1) == nil)
	q.Done(w.Name)
	assert.Assert(t, q.Take(w, 1) == nil)
}
