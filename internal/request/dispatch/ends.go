package dispatch

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/runner"
)

//go:generate ../../../bin/stringer -type=attemptEnd,giveUp -linecomment -output=ends_string.go

// attemptEnd is the way in which an attempt ended without a complete answer.
type attemptEnd int

const (
	endCancelled   attemptEnd = iota // cancelled
	endDeclined                      // declined
	endUnreachable                   // unreachable
	endSilent                        // silent
	endDiverged                      // diverged
	endStatus                        // status
	endBrokenOff                     // broken_off
)

// giveUp is the reason why a request without a complete answer got no further attempt.
type giveUp int

const (
	attemptsSpent giveUp = iota // attempts_spent
	retryDenied                 // retry_denied
	notRepeatable               // not_repeatable
	noTarget                    // no_target
	notRecorded                 // not_recorded
	promptBlocked               // blocked
	requestEnded                // ended
)

// endOf returns the way in which an attempt ended whose first error was err.
func endOf(ctx context.Context, err error) attemptEnd {
	var failed *runner.Error
	var timeout net.Error
	known := errors.As(err, &failed)
	switch {
	case ctx.Err() != nil:
		return endCancelled
	case known && failed.RunState == answer.NotRun && failed.Status == 0:
		return endUnreachable
	case known && failed.RunState == answer.NotRun:
		return endDeclined
	case errors.Is(err, runner.ErrSilent), errors.Is(err, fasthttp.ErrTimeout), errors.As(err, &timeout) && timeout.Timeout():
		return endSilent
	case errors.Is(err, errDiverged):
		return endDiverged
	case known && failed.Status != 0:
		return endStatus
	default:
		return endBrokenOff
	}
}

// reportFailed counts and logs an attempt that ended without a complete answer. Its first error
// tells the cause: the later ones are those of resuming the run.
func (d *Dispatcher) reportFailed(ctx context.Context, loc RunLocation, events int, firstErr, err error) {
	end := endOf(ctx, firstErr).String()
	attemptsFailed.Add(end, 1)
	if d.Log == nil {
		return
	}
	d.Log.Info("attempt failed", "attempt", loc.RunID, "target", loc.Target, "end", end, "run", runner.RunStateOf(err), "events", events, "cause", firstErr, "err", err)
}

// reportGivenUp counts, and logs if there were attempts, that a request gets no further one. Whoever has
// cancelled the request with an answer for its caller logs that.
func (d *Dispatcher) reportGivenUp(ctx context.Context, runID string, attempts int, reason giveUp) {
	if ctx.Err() != nil {
		reason = requestEnded
	}
	requestsGivenUp.Add(reason.String(), 1)
	var cancelledWith *answer.Error
	if d.Log != nil && attempts > 0 && !errors.As(context.Cause(ctx), &cancelledWith) {
		d.Log.Info("request given up", "request_id", runID, "attempts", attempts, "reason", reason)
	}
}
