package dispatch

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/request/answer"
)

// Outcome is the result of a request and the tokens that it used.
type Outcome struct {
	ran     bool
	usage   chat.Usage
	failure *answer.Error
	settle  func() (chat.Usage, bool) // cancels an abandoned attempt; nil if usage and ran are final
}

// Failure returns the error for the caller, or nil if the answer is complete.
func (o Outcome) Failure() *answer.Error { return o.failure }

// Settled reports whether Settle returns without waiting.
func (o Outcome) Settled() bool { return o.settle == nil }

// Settle returns the tokens to bill and reports whether the request ran. For an abandoned
// request it cancels the run at the target and waits until the attempt has ended.
func (o Outcome) Settle() (chat.Usage, bool) {
	if o.settle != nil {
		return o.settle()
	}
	return o.usage, o.ran
}

// abandon returns the outcome of a request whose ctx ended during an attempt. The attempt is
// cancelled by Settle.
func (d *Dispatcher) abandon(ctx context.Context, s *requestState, a *attempt) Outcome {
	runState := answer.Unknown
	if s.answerBegun.Load() {
		runState = answer.Ran
	}
	settle := func() (chat.Usage, bool) {
		used, err := d.Cancel(a.target, a.runID)
		<-a.done
		switch {
		case a.err == nil:
			out := s.completed(a)
			return out.usage, true
		case a.runState() == answer.NotRun:
			return chat.Usage{}, false
		case err != nil:
			return s.fallbackUsage(a), true
		default:
			used = *s.plausibleUsage(a, &used)
			return used, used != chat.Usage{} || a.textEvents > 0
		}
	}
	return Outcome{failure: abandonedError(ctx, runState), settle: settle}
}

// abandonedError returns the answer to a request whose deadline has passed or whose callers
// have disconnected, or the cause with which ctx was cancelled if that is an answer.
func abandonedError(ctx context.Context, runState answer.RunState) *answer.Error {
	var cause *answer.Error
	if errors.As(context.Cause(ctx), &cause) {
		return cause.WithRun(runState)
	}
	refusal := &answer.Error{
		Status:     fasthttp.StatusGatewayTimeout,
		Code:       "deadline_exceeded",
		Message:    "the request was given up at its deadline",
		Run:        runState,
		RetryAfter: busyRetryAfter,
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		refusal.Code = "cancelled"
		refusal.Message = "the request was cancelled"
	}
	return refusal
}
