package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/queue"
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
	// Acquire waits for a place at a target, or refuses with when to come back.
	Acquire func(ctx context.Context, t queue.Ticket) (*pool.Place, *answer.Error)
	// Stream sends a completion request.
	Stream func(ctx context.Context, addr, runID string, body []byte, sink func(runner.Event) error) error
	// Resume asks for the rest of a run.
	Resume func(ctx context.Context, addr, runID string, offset int64, sink func(runner.Event) error) error
	// Cancel stops a run and returns what it used.
	Cancel func(addr, runID string) (chat.Usage, error)
	// Call sends a request to a plain service.
	Call func(addr, runID string, call runner.Call) (runner.Result, error)
	// MayRepeat decides whether a call that failed may be sent again; nil stands
	// for the rule that it provably did not run or is idempotent.
	MayRepeat func(state answer.RunState, idempotent bool) bool
	// Retries bounds the repeated attempts.
	Retries RetryBudget
}

// Completion is one request for an engine.
type Completion struct {
	// Model is the model's name.
	Model string
	// Ticket asks for the places of the attempts.
	Ticket queue.Ticket
	// RunID is the id of the first attempt; each later attempt adds its number.
	RunID string
	// Body is sent to the engine.
	Body []byte
	// WorstPrompt bounds the prompt's tokens, and is charged if they cannot be learnt.
	WorstPrompt int64
	// MaxTokens bounds the completion's tokens.
	MaxTokens int64
	// Earlier is a run of the same request that another router has begun, if any.
	Earlier Location
	// Delivered holds the events that the caller has already received.
	Delivered [][]byte
	// Announce is called before each attempt; after an error it is not sent.
	Announce func(Location) error
	// Began is told where each attempt runs; it may be nil.
	Began func(Location)
	// Sink receives the events.
	Sink func(runner.Event) error
}

// Location tells where a run is.
type Location struct {
	// Target is the address of the engine.
	Target string
	// RunID names the attempt at the engine.
	RunID string
}

// Complete runs the request at an engine and returns when the answer is whole or
// given up, at the latest when ctx ends.
func (d *Dispatcher) Complete(ctx context.Context, c Completion) Outcome {
	d.Retries.Deposit()
	s := newSession(c)
	if c.Earlier.Target != "" {
		if out, done := d.takeOver(ctx, s); done {
			return out
		}
	}
	exclude := make(map[string]bool)
	var last error
	for n := range maxAttempts {
		if ctx.Err() != nil || n > 0 && !d.Retries.allows(last) {
			break
		}
		place, refusal := d.acquire(ctx, c.Ticket, exclude)
		if refusal != nil {
			s.refusal = refusal
			break
		}
		exclude[place.Addr()] = true
		if !s.announce(place.Addr(), attemptID(c.RunID, n)) {
			place.Release()
			break
		}
		a := s.begin(place.Addr(), attemptID(c.RunID, n))
		a.place = place
		err := d.run(ctx, s, a, place.Go)
		if err == nil {
			return s.whole(a)
		}
		if ctx.Err() != nil {
			return d.abandon(ctx, s, a)
		}
		s.failed(a, d.Cancel)
		last = err
	}
	return s.refused(ctx)
}

// attemptID names an attempt so that an answer to an earlier one cannot be taken for it.
func attemptID(runID string, n int) string {
	if n == 0 {
		return runID
	}
	return fmt.Sprintf("%s.%d", runID, n)
}

// run performs the attempt on a worker, if one is free, and waits for it or for ctx.
func (d *Dispatcher) run(ctx context.Context, s *session, a *attempt, worker func(func()) bool) error {
	ok := worker(func() {
		defer close(a.done)
		a.err = errors.New("attempt panicked")
		a.err = d.stream(ctx, s, a)
		a.report(ctx)
	})
	if !ok {
		a.err = &runner.Error{Run: answer.NotRun, Err: fmt.Errorf("target %s has no free worker", a.target)}
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

// stream sends the request and resumes the stream where it is cut.
func (d *Dispatcher) stream(ctx context.Context, s *session, a *attempt) error {
	sink := func(ev runner.Event) error {
		a.observe(ev)
		return s.take(a, ev)
	}
	var err error
	if a.earlier {
		err = d.Resume(ctx, a.target, a.runID, int64(a.position), sink)
	} else {
		err = d.Stream(ctx, a.target, a.runID, s.Body, sink)
	}
	if err != nil && ctx.Err() == nil && runner.State(err) == answer.Unknown {
		// The answer may have been lost on the way; the engine knows of the run if it has begun.
		a.begun = true
		err = d.Resume(ctx, a.target, a.runID, int64(a.position), sink)
	}
	for n := 0; n < maxResumes && resumable(ctx, a.check(err)); n++ {
		err = d.Resume(ctx, a.target, a.runID, int64(a.position), sink)
		a.begun = true
	}
	return a.check(err)
}

// takeOver resumes a run that another router has begun. It reports false if the
// run cannot be resumed and was cancelled as far as possible.
func (d *Dispatcher) takeOver(ctx context.Context, s *session) (Outcome, bool) {
	if !s.announce(s.Earlier.Target, s.Earlier.RunID) {
		// The earlier run may go on, and is not this router's to bill.
		s.state = answer.Unknown
		return Outcome{}, false
	}
	a := s.begin(s.Earlier.Target, s.Earlier.RunID)
	// What the caller has is the beginning of this very run.
	a.earlier, a.begun = true, true
	a.position = len(s.prior)
	if n := len(s.Delivered); n > 0 {
		a.answerID = runner.NewEvent(s.Delivered[n-1]).AnswerID()
	}
	err := d.run(ctx, s, a, func(f func()) bool {
		go f()
		return true
	})
	if err == nil {
		return s.whole(a), true
	}
	if ctx.Err() != nil {
		return d.abandon(ctx, s, a), true
	}
	s.failed(a, d.Cancel)
	return Outcome{}, false
}

func resumable(ctx context.Context, err error) bool {
	return err != nil && ctx.Err() == nil && runner.State(err) == answer.Ran && !errors.Is(err, errDiverged)
}

// noTarget is the answer when no attempt is left.
func noTarget(state answer.RunState) *answer.Error {
	fail := answer.Busy(fasthttp.StatusServiceUnavailable, "no_target", busyRetry, "no target can take the request now")
	fail.Run = state
	return fail
}
