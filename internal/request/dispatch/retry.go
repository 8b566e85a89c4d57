package dispatch

import "sync"

const (
	retryRatio   = 0.1 // repeated attempts for each request
	retryReserve = 10  // repeated attempts that may be made at once
)

// RetryBudget bounds repeated attempts to a share of the requests, so that
// retries cannot multiply an overload.
type RetryBudget struct {
	mu     sync.Mutex // guards the fields below
	spent  float64    // attempts withdrawn and not yet earned back
	denied int64
}

// Deposit counts one request.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-retryRatio)
}

// Withdraw reports whether an attempt may be repeated.
func (b *RetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > retryReserve {
		b.denied++
		retriesDenied.Add(1)
		return false
	}
	b.spent++
	retriesMade.Add(1)
	return true
}
