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
	// Ticket is the queue request that is passed to Acquire for each attempt.
	Ticket queue.Request
	// RunID identifies the call at the service, the same in all attempts.
	RunID string
	// Call is the request that is sent to the service.
	Call runner.ServiceRequest
	// Idempotent reports whether a call that may have run may be retried.
	Idempotent bool
	// BeforeAttempt is called before each attempt, which is not sent if that fails; nil
	// allows every attempt.
	BeforeAttempt func(RunLocation) error
}

// CallService runs the call at a target of the service and retries it where that is allowed.
// When ctx ends it begins no further attempt, but still waits for the current one and returns
// its result.
//
// The error is an *answer.Error.
func (d *Dispatcher) CallService(ctx context.Context, c ServiceCall) (runner.ServiceResponse, error) {
	d.Retries.Deposit()
	c.Call.NewConn = !c.Idempotent
	exclude := make(map[string]bool)
	runState := answer.NotRun
	var lastErr error
	var refusal *answer.Error
	reason := attemptsSpent
	for n := range maxAttempts {
		if ctx.Err() != nil || n > 0 && !d.Retries.allowsRetry(lastErr) {
			reason = retryDenied
			break
		}
		var slot *pool.Slot
		if slot, refusal = d.acquire(ctx, c.Ticket, exclude); refusal != nil {
			reason = noTarget
			break
		}
		exclude[slot.Addr()] = true
		loc := RunLocation{Target: slot.Addr(), RunID: c.RunID}
		if c.BeforeAttempt != nil && c.BeforeAttempt(loc) != nil {
			slot.Release()
			reason = notRecorded
			break
		}
		result, err := d.call(ctx, slot, c)
		if err == nil {
			return result, nil
		}
		lastErr = err
		d.reportFailed(ctx, loc, 0, err, err)
		// An earlier attempt may have run even if a later one did not.
		runState = max(runState, runner.RunStateOf(err))
		if !d.mayRetry(runner.RunStateOf(err), c.Idempotent) {
			reason = notRepeatable
			break
		}
	}
	d.reportGivenUp(ctx, c.RunID, len(exclude), reason)
	if ctx.Err() != nil {
		return runner.ServiceResponse{}, abandonedError(ctx, runState)
	}
	if refusal != nil && runState == answer.NotRun {
		return runner.ServiceResponse{}, refusal
	}
	return runner.ServiceResponse{}, noTargetError(runState)
}

func (d *Dispatcher) mayRetry(runState answer.RunState, idempotent bool) bool {
	if d.MayRetry != nil {
		return d.MayRetry(runState, idempotent)
	}
	return idempotent || runState == answer.NotRun
}

// call performs one attempt on a worker of the slot's target. It fails with a run state of
// NotRun if no worker is free.
func (d *Dispatcher) call(ctx context.Context, slot *pool.Slot, c ServiceCall) (runner.ServiceResponse, error) {
	var result runner.ServiceResponse
	done := make(chan error, 1)
	ok := slot.Submit(func() {
		err := errors.New("call panicked")
		defer func() { done <- err }()
		result, err = d.Call(slot.Addr(), c.RunID, c.Call)
		slot.SetOutcome(targetOutcome(ctx, err))
	})
	if !ok {
		return result, &runner.Error{RunState: answer.NotRun, Err: fmt.Errorf("target %s has no free worker", slot.Addr())}
	}
	return result, <-done
}
