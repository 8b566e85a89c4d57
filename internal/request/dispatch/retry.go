package dispatch

import (
	"sync"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/runner"
)

const (
	defaultRetryRatio = 0.1
	defaultRetryBurst = 10
)

// RetryBudget limits retries to a fraction of the requests, so that retries cannot amplify
// an overload.
type RetryBudget struct {
	// Ratio is the number of retries that each request earns; 0 means 0.1.
	Ratio float64
	// Burst is the number of retries that may be made in a burst; 0 means 10.
	Burst float64

	mu    sync.Mutex // guards spent
	spent float64    // retries withdrawn and not yet earned back by requests
}

// Deposit adds the retries that one request earns.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	ratio := b.Ratio
	if ratio == 0 {
		ratio = defaultRetryRatio
	}
	b.spent = max(0, b.spent-ratio)
}

// allowsRetry reports whether an attempt that failed with lastErr may be retried. An attempt
// that never reached its target puts no load on any target, so its retry is not counted.
func (b *RetryBudget) allowsRetry(lastErr error) bool {
	var runErr *runner.Error
	if errors.As(lastErr, &runErr) && runErr.RunState == answer.NotRun && runErr.Status == 0 {
		return true
	}
	return b.Withdraw()
}

// Withdraw reports whether the budget allows a retry, and takes it from the budget if so.
func (b *RetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	burst := b.Burst
	if burst == 0 {
		burst = defaultRetryBurst
	}
	if b.spent+1 > burst {
		retriesDenied.Add(1)
		return false
	}
	b.spent++
	retriesMade.Add(1)
	return true
}
