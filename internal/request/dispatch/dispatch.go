package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/quarantine"
	"rosevalve/internal/request/queue"
	"rosevalve/internal/target/crash"
	"rosevalve/internal/target/pool"
	"rosevalve/internal/target/runner"
)

const (
	maxAttempts    = 3
	maxResumes     = 3
	busyRetryAfter = time.Second
)

// Dispatcher runs requests at targets, with retries.
type Dispatcher struct {
	// Acquire waits for a slot at a target. Its error is the answer to the request, with the
	// time after which the caller may retry.
	Acquire func(ctx context.Context, r queue.Request) (*pool.Slot, *answer.Error)
	// Stream sends a completion request to an engine and passes the events of its answer to
	// sink.
	Stream func(ctx context.Context, addr, runID string, body []byte, sink func(runner.Event) error) error
	// Resume requests the events of a run after the first offset text events.
	Resume func(ctx context.Context, addr, runID string, offset int64, sink func(runner.Event) error) error
	// Cancel stops a run and returns the tokens that it used.
	Cancel func(addr, runID string) (chat.Usage, error)
	// Call sends a request to a plain service, that is one without an engine.
	Call func(addr, runID string, call runner.ServiceRequest) (runner.ServiceResponse, error)
	// MayRetry reports whether a failed call to a plain service may be retried. If it is nil,
	// calls that are idempotent or provably did not run may be.
	MayRetry func(runState answer.RunState, idempotent bool) bool
	// Quarantine keeps prompts that crash engines away from them, and Crashes is informed of
	// attempts at engines that broke off; nil disables both.
	Quarantine *quarantine.Quarantine
	Crashes    *crash.Detector
	// Retries limits the attempts beyond the first of each request.
	Retries RetryBudget
	// Log receives a record of each attempt that failed and of each request that is given up. It may
	// be nil.
	Log *log.Logger
}

// Completion is one completion request to an engine.
type Completion struct {
	// Model is the name of the model.
	Model string
	// Ticket is the queue request that is passed to Acquire for each attempt.
	Ticket queue.Request
	// RunID is the run id of the first attempt. Later attempts append a dot and their number,
	// counted from 1.
	RunID string
	// Body is the request body for the engine.
	Body []byte
	// SharedParts are the ids of the parts of the prompt that other requests may share.
	SharedParts []uint64
	// MaxPromptTokens is the largest number of tokens in the prompt. It is billed if the engine
	// reports no usage.
	MaxPromptTokens int64
	// MaxCompletionTokens is the largest number of tokens in the completion.
	MaxCompletionTokens int64
	// TakenOver locates a run of the same request that another router began; its Target is empty
	// if there is no such run.
	TakenOver RunLocation
	// Delivered holds the events that the caller has already received, in order.
	Delivered [][]byte
	// BeforeAttempt is called before each attempt, which is not sent if that fails; nil
	// allows every attempt.
	BeforeAttempt func(RunLocation) error
	// OnAttempt is called with the location of each attempt before it is sent; it may be nil.
	OnAttempt func(RunLocation)
	// Sink receives the events for the caller.
	Sink func(runner.Event) error
}

// RunLocation identifies a run at an engine or plain service.
type RunLocation struct {
	// Target is the address of the target.
	Target string
	// RunID identifies the run at the target.
	RunID string
}

// Complete runs the request at an engine, in several attempts if needed, and returns when
// the answer is complete or has failed, at the latest when ctx ends.
func (d *Dispatcher) Complete(ctx context.Context, c Completion) Outcome {
	d.Retries.Deposit()
	s := newRequestState(c)
	if s.refusal = d.checkQuarantine(ctx, s); s.refusal != nil {
		return s.failure(ctx)
	}
	if c.TakenOver.Target != "" {
		if out, done := d.takeOver(ctx, s); done {
			return out
		}
	}
	exclude := make(map[string]bool)
	var lastErr error
	reason := attemptsSpent
	for n := range maxAttempts {
		if ctx.Err() != nil || n > 0 && !d.Retries.allowsRetry(lastErr) {
			reason = retryDenied
			break
		}
		slot, refusal := d.acquire(ctx, c.Ticket, exclude)
		if refusal != nil {
			s.refusal, reason = refusal, noTarget
			break
		}
		exclude[slot.Addr()] = true
		if d.blocked(s) {
			slot.Release()
			reason = promptBlocked
			break
		}
		if !s.recordAttempt(slot.Addr(), attemptID(c.RunID, n)) {
			slot.Release()
			reason = notRecorded
			break
		}
		a := s.newAttempt(slot.Addr(), attemptID(c.RunID, n))
		a.slot = slot
		err := d.run(ctx, s, a, slot.Submit)
		if err == nil {
			d.reportSound(s, a)
			return s.completed(a)
		}
		if ctx.Err() != nil {
			d.reportGivenUp(ctx, c.RunID, len(exclude), requestEnded)
			return d.abandon(ctx, s, a)
		}
		d.reportFailed(ctx, a.location(), a.textEvents, a.firstErr, err)
		d.reportBrokenOff(s, a)
		s.recordFailure(a, d.Cancel)
		lastErr = err
	}
	d.reportGivenUp(ctx, c.RunID, len(exclude), reason)
	return s.failure(ctx)
}

// attemptID returns the run id of attempt n, which is unique so that an answer to an earlier
// attempt cannot be mistaken for one to this attempt.
func attemptID(runID string, n int) string {
	if n == 0 {
		return runID
	}
	return fmt.Sprintf("%s.%d", runID, n)
}

// run performs the attempt on a worker and returns when it or ctx ends. It fails with a run
// state of NotRun if no worker is free.
func (d *Dispatcher) run(ctx context.Context, s *requestState, a *attempt, worker func(func()) bool) error {
	ok := worker(func() {
		defer close(a.done)
		a.err = errors.New("attempt panicked")
		a.err = d.stream(ctx, s, a)
		a.reportOutcome(ctx)
	})
	if !ok {
		a.err = &runner.Error{RunState: answer.NotRun, Err: fmt.Errorf("target %s has no free worker", a.target)}
		a.firstErr = a.err
		close(a.done)
		return a.err
	}
	select {
	case <-a.done:
		return a.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// stream sends the request, or resumes the run that another router began. When the stream
// breaks off, it is resumed up to maxResumes times.
func (d *Dispatcher) stream(ctx context.Context, s *requestState, a *attempt) error {
	sink := func(ev runner.Event) error {
		a.observeEvent(ev)
		d.observeAnswer(s, a)
		return s.deliver(a, ev)
	}
	var err error
	if a.takenOver {
		err = d.Resume(ctx, a.target, a.runID, int64(a.textEvents), sink)
	} else {
		err = d.Stream(ctx, a.target, a.runID, s.Body, sink)
	}
	a.firstErr = a.checkFinished(err)
	if err != nil && ctx.Err() == nil && runner.RunStateOf(err) == answer.Unknown {
		// The answer may have been lost on its way. If the run has begun, the engine knows it.
		a.mayHaveBegun = true
		err = d.Resume(ctx, a.target, a.runID, int64(a.textEvents), sink)
	}
	for n := 0; n < maxResumes && resumable(ctx, a.checkFinished(err)); n++ {
		err = d.Resume(ctx, a.target, a.runID, int64(a.textEvents), sink)
		a.mayHaveBegun = true
	}
	return a.checkFinished(err)
}

// takeOver resumes a run that another router began. It reports false if the request needs
// another attempt, since the take-over could not be recorded, or since the run could not be
// resumed and was cancelled as far as possible.
func (d *Dispatcher) takeOver(ctx context.Context, s *requestState) (Outcome, bool) {
	if !s.recordAttempt(s.TakenOver.Target, s.TakenOver.RunID) {
		// The earlier run may continue, and another router bills it.
		s.runState = answer.Unknown
		return Outcome{}, false
	}
	a := s.newAttempt(s.TakenOver.Target, s.TakenOver.RunID)
	// The events delivered to the caller are the beginning of this run.
	a.takenOver, a.mayHaveBegun = true, true
	a.textEvents = len(s.delivered)
	if n := len(s.Delivered); n > 0 {
		a.answerID = runner.NewEvent(s.Delivered[n-1]).AnswerID()
	}
	err := d.run(ctx, s, a, func(f func()) bool {
		go f()
		return true
	})
	if err == nil {
		return s.completed(a), true
	}
	if ctx.Err() != nil {
		d.reportGivenUp(ctx, s.RunID, 1, requestEnded)
		return d.abandon(ctx, s, a), true
	}
	d.reportFailed(ctx, a.location(), a.textEvents, a.firstErr, err)
	s.recordFailure(a, d.Cancel)
	return Outcome{}, false
}

// resumable reports whether the stream of a run that failed with err can be resumed.
func resumable(ctx context.Context, err error) bool {
	return err != nil && ctx.Err() == nil && runner.RunStateOf(err) == answer.Ran && !errors.Is(err, errDiverged)
}

// noTargetError returns the answer to a request when no further attempt is allowed.
func noTargetError(runState answer.RunState) *answer.Error {
	refusal := answer.Retryable(fasthttp.StatusServiceUnavailable, "no_target", busyRetryAfter, "no target can take the request now")
	refusal.Run = runState
	return refusal
}
