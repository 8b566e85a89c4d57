package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/register"
)

// cutOffTimeout is how long runs that a stop cuts off may take to be billed. An engine answers within
// milliseconds what a run has used; the rest of the stop must not wait for one that does not.
const cutOffTimeout = 500 * time.Millisecond

// errStopped is the answer to a request whose run a stop cuts off, but for its run state.
var errStopped = &answer.Error{
	Status:     fasthttp.StatusBadGateway,
	Code:       "stopped",
	Message:    "the router stopped before the answer was complete",
	Run:        answer.Unknown,
	RetryAfter: time.Second,
}

// Close waits until all runs have finished and all outcomes are stored. If ctx ends first, it cuts
// off the runs in flight, and the error wraps that of ctx.
func (g *Gateway) Close(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		g.unfinished.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		n := g.cutOffRuns()
		select {
		case <-done:
		case <-time.After(cutOffTimeout):
		}
		return fmt.Errorf("wait for runs, %d were cut off: %w", n, ctx.Err())
	}
}

// cutOffRuns cancels the runs in flight, which are then billed like runs whose callers have gone. It
// returns their number.
func (g *Gateway) cutOffRuns() int {
	n := 0
	g.running.Range(func(key, _ any) bool {
		run := key.(*register.Run)
		n++
		g.Log.Warn("run cut off", "request_id", run.ID(), "workspace", run.Key().Workspace,
			"took_ms", time.Since(run.Began()).Milliseconds(), "events", run.Log().Len())
		run.CancelCause(errStopped)
		return true
	})
	return n
}

// givenUpError returns the answer to a request whose run was cancelled with an outcome that is
// unknown: at its deadline, or by a stop.
func givenUpError(run *register.Run, deadlineMessage string) *answer.Error {
	if errors.Is(context.Cause(run.Context()), errStopped) {
		return errStopped
	}
	return &answer.Error{
		Status:     fasthttp.StatusGatewayTimeout,
		Code:       "deadline_exceeded",
		Message:    deadlineMessage,
		Run:        answer.Unknown,
		RetryAfter: tableRetryAfter,
	}
}
