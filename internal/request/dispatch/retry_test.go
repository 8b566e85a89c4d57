package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/runner"
)

// allowedRetries returns the number of retries that the budget allows for the number of
// requests, which all fail with err.
func allowedRetries(requests int, err error) int {
	var b RetryBudget
	n := 0
	for range requests {
		b.Deposit()
		if b.allowsRetry(err) {
			n++
		}
	}
	return n
}

func TestRetryBudget(t *testing.T) {
	const requests = 1000
	t.Run("bounds repetitions that reach targets", func(t *testing.T) {
		for _, err := range []error{
			&runner.Error{RunState: answer.Unknown},
			&runner.Error{RunState: answer.NotRun, Status: 503},
		} {
			n := allowedRetries(requests, err)
			assert.Assert(t, n >= requests/10 && n <= requests/10+defaultRetryBurst+1, "%d", n)
		}
	})
	t.Run("does not count what reached none", func(t *testing.T) {
		assert.Equal(t, allowedRetries(requests, &runner.Error{RunState: answer.NotRun}), requests)
	})
}
