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

// ServiceCall is one request for a plain service.
type ServiceCall struct {
	// Ticket asks for the places of the attempts.
	Ticket queue.Ticket
	// RunID identifies the call at the service.
	RunID string
	// Call is sent to the service.
	Call runner.Call
	// Idempotent allows a call that may have run to be sent again.
	Idempotent bool
	// Announce is called before each attempt; after an error it is not sent.
	Announce func(Location) error
}

// CallService runs the call at a target of the service. It returns the outcome
// of the attempt that it has begun even if ctx ends before, and begins no other.
//
// The error is an *answer.Error.
func (d *Dispatcher) CallService(ctx context.Context, c ServiceCall) (runner.Result, error) {
	d.Retries.Deposit()
	c.Call.Fresh = !c.Idempotent
	exclude := make(map[string]bool)
	state := answer.NotRun
	var refusal *answer.Error
	var last error
	for n := range maxAttempts {
		if ctx.Err() != nil || n > 0 && !d.Retries.allows(last) {
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
		last = err
		// A later attempt that did not run says nothing about an earlier one.
		state = max(state, runner.State(err))
		if !d.mayRepeat(runner.State(err), c.Idempotent) {
			break
		}
	}
	if ctx.Err() != nil {
		return runner.Result{}, givenUp(ctx, state)
	}
	if refusal != nil && state == answer.NotRun {
		return runner.Result{}, refusal
	}
	return runner.Result{}, noTarget(state)
}

func (d *Dispatcher) mayRepeat(state answer.RunState, idempotent bool) bool {
	if d.MayRepeat != nil {
		return d.MayRepeat(state, idempotent)
	}
	return idempotent || state == answer.NotRun
}

// call performs one attempt on a worker of the place's target, if one is free.
func (d *Dispatcher) call(ctx context.Context, p *pool.Place, c ServiceCall) (runner.Result, error) {
	var result runner.Result
	done := make(chan error, 1)
	ok := p.Go(func() {
		err := errors.New("call panicked")
		defer func() { done <- err }()
		result, err = d.Call(p.Addr(), c.RunID, c.Call)
		p.Report(verdict(ctx, err))
	})
	if !ok {
		return result, &runner.Error{Run: answer.NotRun, Err: fmt.Errorf("target %s has no free worker", p.Addr())}
	}
	return result, <-done
}
