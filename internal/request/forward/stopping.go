package forward

import (
	"time"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/request/answer"
)

// checkStopping refuses the request if the router is stopping and may cut its answer off. Other
// routers can take it.
func (ar *activeRequest) checkStopping() *answer.Error {
	now := time.Now()
	if ar.f.Accepts == nil || ar.f.Accepts(now, ar.deadline, ar.f.durations.Expect(now, ar.route.Name, ar.maxOutput())) {
		return nil
	}
	return answer.Retryable(fasthttp.StatusServiceUnavailable, stoppingCode, stoppingRetryAfter, "the router stops and the answer may not be complete before")
}

// observeDuration records how long a complete answer took, without the time that the caller
// took to read it.
func (ar *activeRequest) observeDuration(a *Answer) {
	if a.Status != fasthttp.StatusOK {
		return
	}
	total := ar.timeToAnswer
	if a.Stream != nil {
		if !a.Stream.done {
			return
		}
		total = a.Stream.Elapsed() - a.Stream.writeTime
	}
	ar.f.durations.Observe(time.Now(), ar.route.Name, ar.maxOutput(), ar.timeToAnswer, total)
}

// maxOutput returns the largest number of tokens that the answer can have, or 1 for a request
// without a prompt.
func (ar *activeRequest) maxOutput() int64 {
	if ar.r.Prompt == nil {
		return 1
	}
	return max(1, ar.r.Prompt.MaxOutputTokens)
}
