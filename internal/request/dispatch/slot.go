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

// acquire waits for a slot at a target that is not excluded.
func (d *Dispatcher) acquire(ctx context.Context, r queue.Request, exclude map[string]bool) (*pool.Slot, *answer.Error) {
	r.Demand.Exclude = exclude
	return d.Acquire(ctx, r)
}

// observeEvent passes the token or usage of a received event to the slot.
func (a *attempt) observeEvent(ev runner.Event) {
	if a.slot == nil {
		return
	}
	if ev.HasContent() {
		a.slot.ObserveToken()
	}
	if ev.Usage != nil {
		a.slot.SetUsedTokens(ev.Usage.PromptTokens + ev.Usage.CompletionTokens)
	}
}

// reportOutcome passes the outcome of the ended attempt to the slot.
func (a *attempt) reportOutcome(ctx context.Context) {
	if a.slot != nil {
		a.slot.SetOutcome(targetOutcome(ctx, a.err))
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
