package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/pool"
	"rosevalve/internal/target/runner"
)

// errDiverged reports that a repeated run does not repeat what the caller has received.
var errDiverged = errors.New("the answer of the new attempt differs from what was delivered")

// session is what is known of one request over its attempts.
//
// One goroutine uses it at a time: the attempt's while it runs, then the
// dispatcher's; only begun may be read by both.
type session struct {
	Completion

	prior    [][]byte // text events that the caller has
	finished bool     // the caller has the event with the finish reason
	begun    atomic.Bool
	state    answer.RunState
	usage    chat.Usage // of the last attempt that ran
	refusal  *answer.Error
}

// attempt is one run at one target.
type attempt struct {
	target   string
	runID    string
	place    *pool.Place // nil for a run that another router began
	earlier  bool        // another router began the run
	answerID []byte      // as the run's first event names it
	begun    bool        // the run may have begun before the last request for it
	position int         // text events of this run that the caller has
	finished bool
	usage    *chat.Usage
	done     chan struct{} // closed when the attempt has ended; err is valid then
	err      error
}

func newSession(c Completion) *session {
	s := &session{Completion: c}
	for _, data := range c.Delivered {
		s.note(runner.NewEvent(data))
	}
	return s
}

// announce reports whether the attempt may be sent.
func (s *session) announce(target, runID string) bool {
	return s.Announce == nil || s.Announce(Location{Target: target, RunID: runID}) == nil
}

func (s *session) begin(target, runID string) *attempt {
	if s.Began != nil {
		s.Began(Location{Target: target, RunID: runID})
	}
	return &attempt{target: target, runID: runID, done: make(chan struct{})}
}

// note counts an event that the caller receives.
func (s *session) note(ev runner.Event) {
	if ev.Text() {
		s.prior = append(s.prior, ev.Data)
		s.begun.Store(true)
	}
	if ev.Finish() {
		s.finished = true
	}
}

// take passes on an event of the attempt, unless the caller has it already.
func (s *session) take(a *attempt, ev runner.Event) error {
	if err := a.checkID(ev.AnswerID()); err != nil {
		return err
	}
	if ev.Usage == nil {
		return s.takePart(a, ev)
	}
	if ev.Text() || ev.Finish() {
		// The engine reports the usage together with the end of the answer.
		if err := s.takePart(a, runner.NewEvent(ev.Data)); err != nil {
			return err
		}
	}
	a.usage = s.checkUsage(a, ev.Usage)
	return s.Sink(withUsage(ev, a.usage))
}

// takePart passes on an event that is a part of the answer.
func (s *session) takePart(a *attempt, ev runner.Event) error {
	a.finished = a.finished || ev.Finish()
	if ev.Text() {
		a.position++
		if a.position <= len(s.prior) {
			return s.repeats(s.prior[a.position-1], ev)
		}
	}
	if a.position < len(s.prior) {
		if ev.Finish() {
			return &runner.Error{Run: answer.Ran, Err: errDiverged}
		}
		return nil
	}
	if ev.Finish() && s.finished {
		return nil
	}
	s.note(ev)
	return s.Sink(ev)
}

// checkID refuses an event of another answer than the run's first event.
func (a *attempt) checkID(id []byte) error {
	if id == nil {
		return nil
	}
	if a.answerID == nil {
		a.answerID = id
	}
	if !bytes.Equal(a.answerID, id) {
		return fmt.Errorf("event belongs to answer %q, not %q", id, a.answerID)
	}
	return nil
}

// repeats compares an event with the one that the caller has in its place.
func (s *session) repeats(prior []byte, ev runner.Event) error {
	had, err := choices(prior)
	if err != nil {
		return err
	}
	has, err := choices(ev.Data)
	if err != nil {
		return err
	}
	if !bytes.Equal(had, has) {
		return errDiverged
	}
	return nil
}

func choices(data []byte) ([]byte, error) {
	var chunk struct {
		Choices json.RawMessage `json:"choices"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return nil, fmt.Errorf("decode event: %w", err)
	}
	return chunk.Choices, nil
}

// checkUsage replaces a usage report that cannot be true by what was seen.
func (s *session) checkUsage(a *attempt, u *chat.Usage) *chat.Usage {
	possible := u.PromptTokens >= 0 && u.PromptTokens <= s.WorstPrompt &&
		u.CompletionTokens >= 0 && u.CompletionTokens <= s.MaxTokens &&
		(u.CompletionTokens > 0 || a.position == 0)
	if possible {
		return u
	}
	wrongUsage.Add(1)
	checked := &chat.Usage{
		PromptTokens:     min(max(u.PromptTokens, 0), s.WorstPrompt),
		CompletionTokens: a.seen(s.MaxTokens),
	}
	checked.TotalTokens = checked.PromptTokens + checked.CompletionTokens
	return checked
}

// withUsage returns the event with the usage that is billed.
func withUsage(ev runner.Event, u *chat.Usage) runner.Event {
	if ev.Usage == u {
		return ev
	}
	var chunk chat.Chunk
	if err := json.Unmarshal(ev.Data, &chunk); err != nil {
		return ev
	}
	chunk.Usage = u
	if data, err := json.Marshal(chunk); err == nil {
		ev.Data = data
	}
	ev.Usage = u
	return ev
}

// check turns a stream that ended too early into a cut one.
func (a *attempt) check(err error) error {
	if err == nil && !a.finished {
		return &runner.Error{Run: answer.Ran, Err: errors.New("stream ended without finish reason")}
	}
	return err
}

// state tells whether the run has run. A request for the rest of a run that does
// not reach the engine says nothing about the run itself.
func (a *attempt) state() answer.RunState {
	state := runner.State(a.err)
	switch {
	case a.position > 0:
		return answer.Ran
	case a.begun:
		return max(state, answer.Unknown)
	default:
		return state
	}
}

// seen returns the tokens that have arrived from the run, at most limit.
func (a *attempt) seen(limit int64) int64 { return min(int64(a.position), limit) }

// known returns the usage of a run whose engine doesn't tell it.
func (s *session) known(a *attempt) chat.Usage {
	u := chat.Usage{PromptTokens: s.WorstPrompt, CompletionTokens: a.seen(s.MaxTokens)}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	return u
}

// failed notes a failed attempt, stopping it if it may have run.
func (s *session) failed(a *attempt, cancel func(addr, runID string) (chat.Usage, error)) {
	state := a.state()
	if state == answer.NotRun {
		return
	}
	used, err := cancel(a.target, a.runID)
	switch {
	case err != nil:
		s.state = max(s.state, state)
		s.usage = s.known(a)
	case used == chat.Usage{} && a.position == 0:
		// The engine has stopped the run before it began.
	default:
		s.state = answer.Ran
		s.usage = *s.checkUsage(a, &used)
	}
}

// whole is the outcome of a whole answer.
func (s *session) whole(a *attempt) Outcome {
	if a.usage == nil {
		return Outcome{ran: true, usage: s.known(a)}
	}
	return Outcome{ran: true, usage: *a.usage}
}

// refused is the outcome when no attempt is left.
func (s *session) refused(ctx context.Context) Outcome {
	out := Outcome{ran: s.usage != chat.Usage{}, usage: s.usage, failure: noTarget(s.state)}
	if s.state != answer.NotRun {
		out.failure.Status = fasthttp.StatusBadGateway
		out.failure.Code = "target_failed"
		out.failure.Message = "the target failed while it ran the request"
	}
	if s.refusal != nil && !out.ran {
		out.failure = s.refusal
	}
	if ctx.Err() != nil {
		out.failure = givenUp(ctx, s.state)
	}
	return out
}
