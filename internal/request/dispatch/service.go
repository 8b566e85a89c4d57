package dispatch

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/queue"
	"rosevalve/internal/target/pool"
	"rosevalve/internal/target/runner"
)

// ServiceCall is one request to a plain service.
type ServiceCall struct {
	// Ticket is passed to Acquire for each attempt.
	Ticket queue.Ticket
	// RunID identifies the call at the service, the same in all attempts.
	RunID string
	// Call is the request that is sent to the service.
	Call runner.Call
	// Idempotent reports whether a call that may have run may be retried.
	Idempotent bool
	// Announce is called before each attempt, which is not sent if Announce fails; nil allows
	// every attempt.
	Announce func(Location) error
}

// CallService runs the call at a target of the service and retries it where that is allowed.
// When ctx ends it begins no further attempt, but still waits for the current one and returns
// its result.
//
// The error is an *answer.Error.
func (d *Dispatcher) CallService(ctx context.Context, c ServiceCall) (runner.Result, error) {
	d.Retries.Deposit()
	c.Call.Fresh = !c.Idempotent
	exclude := make(map[string]bool)
	runState := answer.NotRun
	var lastErr error
	var refusal *answer.Error
	for n := range maxAttempts {
		if ctx.Err() != nil || n > 0 && !d.Retries.allowsRetry(lastErr) {
			break
		}
		var place *pool.Place
		if place, refusal = d.acquire(ctx, c.Ticket, exclude); refusal != nil {
			break
		}
		exclude[place.Addr()] = true
		if c.Announce != nil && c.Announce(Location{Target: place.Addr(), RunID: c.RunID}) != nil {
			place.Release()
			break
		}
		result, err := d.call(ctx, place, c)
		if err == nil {
			return result, nil
		}
		lastErr = err
		// An earlier attempt may have run even if a later one did not.
		runState = max(runState, runner.State(err))
		if !d.mayRetry(runner.State(err), c.Idempotent) {
			break
		}
	}
	if ctx.Err() != nil {
		return runner.Result{}, abandonedError(ctx, runState)
	}
	if refusal != nil && runState == answer.NotRun {
		return runner.Result{}, refusal
	}
	return runner.Result{}, noTargetError(runState)
}

func (d *Dispatcher) mayRetry(runState answer.RunState, idempotent bool) bool {
	if d.MayRepeat != nil {
		return d.MayRepeat(runState, idempotent)
	}
	return idempotent || runState == answer.NotRun
}

// call performs one attempt on a worker of the place's target. It fails with a run state of
// NotRun if no worker is free.
func (d *Dispatcher) call(ctx context.Context, p *pool.Place, c ServiceCall) (runner.Result, error) {
	var result runner.Result
	done := make(chan error, 1)
	ok := p.Go(func() {
		err := errors.New("call panicked")
		defer func() { done <- err }()
		result, err = d.Call(p.Addr(), c.RunID, c.Call)
		p.Report(targetOutcome(ctx, err))
	})
	if !ok {
		return result, &runner.Error{Run: answer.NotRun, Err: fmt.Errorf("target %s has no free worker", p.Addr())}
	}
	return result, <-done
}
