package dispatch

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/request/answer"
)

// Outcome is what a request used and how it ended.
type Outcome struct {
	ran     bool
	usage   chat.Usage
	failure *answer.Error
	settle  func() (chat.Usage, bool)
}

// Failure returns the answer for the caller, or nil if the answer is whole.
func (o Outcome) Failure() *answer.Error { return o.failure }

// Settled reports whether Settle returns at once.
func (o Outcome) Settled() bool { return o.settle == nil }

// Settle returns the tokens to bill and whether the request ran. For a request
// that was given up it waits until the target has stopped the run.
func (o Outcome) Settle() (chat.Usage, bool) {
	if o.settle != nil {
		return o.settle()
	}
	return o.usage, o.ran
}

// abandon gives up an attempt that is still going on.
func (d *Dispatcher) abandon(ctx context.Context, s *session, a *attempt) Outcome {
	state := answer.Unknown
	if s.begun.Load() {
		state = answer.Ran
	}
	settle := func() (chat.Usage, bool) {
		used, err := d.Cancel(a.target, a.runID)
		<-a.done
		switch {
		case a.err == nil:
			out := s.whole(a)
			return out.usage, true
		case a.state() == answer.NotRun:
			return chat.Usage{}, false
		case err != nil:
			return s.known(a), true
		default:
			used = *s.checkUsage(a, &used)
			return used, used != chat.Usage{} || a.position > 0
		}
	}
	return Outcome{failure: givenUp(ctx, state), settle: settle}
}

// givenUp is the answer to a request whose deadline has passed or whose callers have gone.
func givenUp(ctx context.Context, state answer.RunState) *answer.Error {
	fail := &answer.Error{
		Status:     fasthttp.StatusGatewayTimeout,
		Code:       "deadline_exceeded",
		Message:    "the request was given up at its deadline",
		Run:        state,
		RetryAfter: busyRetry,
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		fail.Code = "cancelled"
		fail.Message = "the request was cancelled"
	}
	return fail
}
