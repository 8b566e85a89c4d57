package dispatch

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/queue"
	"rosevalve/internal/target/pool"
	"rosevalve/internal/target/runner"
)

// acquire waits for a place at a target that is not excluded.
func (d *Dispatcher) acquire(ctx context.Context, t queue.Request, exclude map[string]bool) (*pool.Slot, *answer.Error) {
	t.Demand.Exclude = exclude
	return d.Acquire(ctx, t)
}

// observeEvent passes the token or usage of a received event to the place.
func (a *attempt) observeEvent(ev runner.Event) {
	if a.place == nil {
		return
	}
	if ev.HasContent() {
		a.place.ObserveToken()
	}
	if ev.Usage != nil {
		a.place.SetUsedTokens(ev.Usage.PromptTokens + ev.Usage.CompletionTokens)
	}
}

// reportOutcome passes the outcome of the ended attempt to the place.
func (a *attempt) reportOutcome(ctx context.Context) {
	if a.place != nil {
		a.place.SetOutcome(targetOutcome(ctx, a.err))
	}
}

// targetOutcome returns what an attempt that ended with err shows about its target.
func targetOutcome(ctx context.Context, err error) pool.Outcome {
	if err == nil {
		return pool.Succeeded
	}
	if ctx.Err() != nil || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return pool.Cancelled
	}
	var failed *runner.Error
	switch {
	case !errors.As(err, &failed) || failed.RunState != answer.NotRun:
		return pool.Failed
	case failed.Status != 0:
		return pool.Declined
	default:
		return pool.Unreachable
	}
}
