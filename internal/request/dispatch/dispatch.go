package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/pool"
	"rosevalve/internal/target/runner"
)

const (
	maxAttempts = 3
	maxResumes  = 3
	busyRetry   = time.Second
)

// Dispatcher runs requests at targets.
type Dispatcher struct {
	// Engine picks an engine with the model that is not in the set.
	Engine func(model string, exclude map[string]bool) (*pool.Target, error)
	// Service picks a target of the plain service that is not in the set.
	Service func(name string, exclude map[string]bool) (*pool.Target, error)
	// Stream sends a completion request.
	Stream func(ctx context.Context, addr, runID string, body []byte, sink func(runner.Event) error) error
	// Resume asks for the rest of a run.
	Resume func(ctx context.Context, addr, runID string, offset int64, sink func(runner.Event) error) error
	// Cancel stops a run and returns what it used.
	Cancel func(addr, runID string) (chat.Usage, error)
	// Call sends a request to a plain service.
	Call func(addr, runID string, call runner.Call) (runner.Result, error)
}

// Completion is one request for an engine.
type Completion struct {
	// Model is the model's name.
	Model string
	// RunID is the id of the first attempt; each later attempt adds its number.
	RunID string
	// Body is sent to the engine.
	Body []byte
	// WorstPrompt is charged for a run whose usage cannot be learnt.
	WorstPrompt int64
	// Announce is called before each attempt; after an error nothing is sent.
	Announce func(target, attempt string) error
	// Sink receives the events.
	Sink func(runner.Event) error
}

// Outcome is what a request used and how it ended.
type Outcome struct {
	usage   chat.Usage
	failure *answer.Error
}

// Usage returns the tokens to bill; it is zero if the request did not run.
func (o Outcome) Usage() chat.Usage { return o.usage }

// Failure returns the answer for the caller, or nil if the answer is whole.
func (o Outcome) Failure() *answer.Error { return o.failure }

// attempt is the state of one run at one target.
type attempt struct {
	target *pool.Target
	runID  string
	usage  *chat.Usage
	tokens int64 // text events handed to the sink
}

// Complete runs the request at an engine and returns when the answer is whole or given up.
func (d *Dispatcher) Complete(ctx context.Context, c Completion) Outcome {
	exclude := make(map[string]bool)
	var last error
	for n := range maxAttempts {
		target, err := d.Engine(c.Model, exclude)
		if err != nil {
			break
		}
		exclude[target.Addr()] = true
		a := &attempt{target: target, runID: attemptID(c.RunID, n)}
		if err := announce(c.Announce, target, a.runID); err != nil {
			return Outcome{failure: noTarget(err)}
		}
		err = d.onWorker(target, func() error { return d.stream(ctx, c, a) })
		if err == nil {
			return Outcome{usage: *a.usage}
		}
		last = err
		if !notRun(err) {
			return d.giveUp(ctx, c, a, err)
		}
	}
	return Outcome{failure: noTarget(last)}
}

// announce makes an attempt known before it is sent.
func announce(f func(target, attempt string) error, t *pool.Target, attempt string) error {
	if f == nil {
		return nil
	}
	if err := f(t.Addr(), attempt); err != nil {
		return &runner.Error{Run: answer.NotRun, Err: fmt.Errorf("announce attempt: %w", err)}
	}
	return nil
}

// attemptID names an attempt so that an answer to an earlier one cannot be taken for it.
func attemptID(runID string, n int) string {
	if n == 0 {
		return runID
	}
	return fmt.Sprintf("%s.%d", runID, n)
}

// onWorker runs f on a worker of the target, if one is free, and waits for it.
func (d *Dispatcher) onWorker(t *pool.Target, f func() error) error {
	done := make(chan error, 1)
	if !t.Go(func() { done <- f() }) {
		return &runner.Error{Run: answer.NotRun, Err: fmt.Errorf("target %s has no free worker", t.Addr())}
	}
	return <-done
}

// stream sends the request and resumes the stream where it is cut.
func (d *Dispatcher) stream(ctx context.Context, c Completion, a *attempt) error {
	sink := func(ev runner.Event) error {
		if ev.Usage != nil {
			a.usage = ev.Usage
		}
		if ev.Text() {
			a.tokens++
		}
		return c.Sink(ev)
	}
	err := d.Stream(ctx, a.target.Addr(), a.runID, c.Body, sink)
	for n := 0; n < maxResumes && resumable(ctx, err); n++ {
		err = d.Resume(ctx, a.target.Addr(), a.runID, a.tokens, sink)
	}
	if err == nil && a.usage == nil {
		return &runner.Error{Run: answer.Ran, Err: errors.New("stream ended without usage")}
	}
	return err
}

// giveUp cancels the run and bills what the engine says it used, or what was seen of it.
func (d *Dispatcher) giveUp(ctx context.Context, c Completion, a *attempt, cause error) Outcome {
	usage, err := d.Cancel(a.target.Addr(), a.runID)
	if err != nil {
		usage = chat.Usage{PromptTokens: c.WorstPrompt, CompletionTokens: a.tokens}
	}
	fail := &answer.Error{
		Status:     fasthttp.StatusBadGateway,
		Code:       "target_failed",
		Message:    "the target failed while it ran the request",
		Run:        runState(cause),
		RetryAfter: busyRetry,
	}
	if ctx.Err() != nil {
		fail.Code = "cancelled"
		fail.Message = "the request was cancelled"
	}
	return Outcome{usage: usage, failure: fail}
}

// ServiceCall is one request for a plain service.
type ServiceCall struct {
	// Service is the service's name.
	Service string
	// RunID identifies the call at the service.
	RunID string
	// Call is sent to the service.
	Call runner.Call
	// Idempotent allows a call that may have run to be sent again.
	Idempotent bool
	// Announce is called before each attempt; after an error nothing is sent.
	Announce func(target, attempt string) error
}

// CallService runs the call at a target of the service.
//
// The error is an *answer.Error.
func (d *Dispatcher) CallService(c ServiceCall) (runner.Result, error) {
	exclude := make(map[string]bool)
	var last error
	for range maxAttempts {
		target, err := d.Service(c.Service, exclude)
		if err != nil {
			break
		}
		exclude[target.Addr()] = true
		var result runner.Result
		if err := announce(c.Announce, target, c.RunID); err != nil {
			return runner.Result{}, announceFailure(last, err)
		}
		err = d.onWorker(target, func() error {
			var callErr error
			result, callErr = d.Call(target.Addr(), c.RunID, c.Call)
			return callErr
		})
		if err == nil {
			return result, nil
		}
		last = err
		if !notRun(err) && !c.Idempotent {
			break
		}
	}
	return runner.Result{}, noTarget(last)
}

// noTarget is the answer when no attempt is left.
func noTarget(last error) *answer.Error {
	fail := answer.Busy(fasthttp.StatusServiceUnavailable, "no_target", busyRetry, "no target can take the request now")
	if last != nil {
		fail.Run = runState(last)
	}
	return fail
}

// announceFailure is the answer when the next attempt could not be announced;
// an earlier one may have run.
func announceFailure(last, err error) *answer.Error {
	if last == nil {
		last = err
	}
	return noTarget(last)
}

func resumable(ctx context.Context, err error) bool {
	return err != nil && ctx.Err() == nil && runState(err) == answer.Ran
}

func notRun(err error) bool { return runState(err) == answer.NotRun }

func runState(err error) answer.RunState {
	var e *runner.Error
	if errors.As(err, &e) {
		return e.Run
	}
	return answer.Unknown
}
