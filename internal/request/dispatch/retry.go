package dispatch

import (
	"sync"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/runner"
)

const (
	defaultRetryRatio   = 0.1
	defaultRetryReserve = 10
)

// RetryBudget bounds repeated attempts to a share of the requests, so that
// retries cannot multiply an overload.
type RetryBudget struct {
	// Ratio is the number of repeated attempts that each request earns.
	Ratio float64
	// Reserve is the number of repeated attempts that may be made at once.
	Reserve float64

	mu    sync.Mutex // guards spent
	spent float64    // attempts withdrawn and not yet earned back
}

// Deposit counts one request.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	ratio := b.Ratio
	if ratio == 0 {
		ratio = defaultRetryRatio
	}
	b.spent = max(0, b.spent-ratio)
}

// allows reports whether an attempt that failed with last may be repeated. One
// that never reached its target costs no target anything and is not counted.
func (b *RetryBudget) allows(last error) bool {
	var e *runner.Error
	if errors.As(last, &e) && e.Run == answer.NotRun && e.Status == 0 {
		return true
	}
	return b.Withdraw()
}

// Withdraw reports whether an attempt may be repeated.
func (b *RetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	reserve := b.Reserve
	if reserve == 0 {
		reserve = defaultRetryReserve
	}
	if b.spent+1 > reserve {
		retriesDenied.Add(1)
		return false
	}
	b.spent++
	retriesMade.Add(1)
	return true
}
