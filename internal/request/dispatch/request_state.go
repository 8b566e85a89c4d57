package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/pool"
	"rosevalve/internal/target/runner"
)

// errDiverged reports that the answer of a new run differs from the events that the caller
// has already received.
var errDiverged = errors.New("the answer of the new attempt differs from what was delivered")

// requestState is the state of one request across its attempts.
//
// One goroutine uses it at a time: that of the attempt while it runs, and that of the
// dispatcher otherwise. Only answerBegun may be read by both at once.
type requestState struct {
	Completion

	delivered   [][]byte        // text events that the caller has received
	finished    bool            // the caller has received the event with the finish reason
	answerBegun atomic.Bool     // the caller has received a text event
	runState    answer.RunState // of the failed attempts together
	usage       chat.Usage      // of the last attempt that ran
	refusal     *answer.Error   // of Acquire or the quarantine; nil if neither refused an attempt
	trial       bool            // the next attempt is sent although its prompt is blocked
}

// attempt is one run of the request at one target.
type attempt struct {
	target       string
	runID        string
	slot         *pool.Slot    // nil for a run that another router began
	takenOver    bool          // another router began the run
	answerID     []byte        // id of the answer in the first event of the run
	mayHaveBegun bool          // the run may have begun before the most recent request for it was sent
	answerAt     time.Time     // when the first text event of the run arrived; zero before that
	shownSound   bool          // the run has shown that the prompt does not crash engines
	textEvents   int           // number of text events received from this run, also by the router that began it
	finished     bool          // the run has sent the event with the finish reason
	usage        *chat.Usage   // as billed; nil if the run has reported none
	firstErr     error         // of the first request for the run, the cause of those that followed
	done         chan struct{} // closed when the attempt has ended; the errors are valid after that
	err          error
}

func newRequestState(c Completion) *requestState {
	s := &requestState{Completion: c}
	for _, data := range c.Delivered {
		s.recordDelivered(runner.NewEvent(data))
	}
	return s
}

// recordAttempt calls BeforeAttempt for an attempt and reports whether it may be sent.
func (s *requestState) recordAttempt(target, runID string) bool {
	return s.BeforeAttempt == nil || s.BeforeAttempt(RunLocation{Target: target, RunID: runID}) == nil
}

func (s *requestState) newAttempt(target, runID string) *attempt {
	if s.OnAttempt != nil {
		s.OnAttempt(RunLocation{Target: target, RunID: runID})
	}
	return &attempt{target: target, runID: runID, done: make(chan struct{})}
}

// location returns where the attempt runs.
func (a *attempt) location() RunLocation { return RunLocation{Target: a.target, RunID: a.runID} }

// recordDelivered records an event that the caller receives.
func (s *requestState) recordDelivered(ev runner.Event) {
	if ev.HasContent() {
		s.delivered = append(s.delivered, ev.Data)
		s.answerBegun.Store(true)
	}
	if ev.HasFinishReason() {
		s.finished = true
	}
}

// deliver passes an event of the attempt to the sink, unless the caller has received it
// already.
func (s *requestState) deliver(a *attempt, ev runner.Event) error {
	if !ev.IsPart() {
		return fmt.Errorf("event %.80q is no part of an answer", ev.Data)
	}
	if err := a.checkID(ev.AnswerID()); err != nil {
		return err
	}
	if ev.Usage == nil {
		return s.deliverPart(a, ev)
	}
	if ev.HasContent() || ev.HasFinishReason() {
		// The engine reports the usage in the same event as the end of the answer.
		if err := s.deliverPart(a, runner.NewEvent(ev.Data)); err != nil {
			return err
		}
	}
	a.usage = s.plausibleUsage(a, ev.Usage)
	return s.Sink(withUsage(ev, a.usage))
}

// deliverPart passes an event without usage to the sink, unless the caller has received it
// already. It fails with errDiverged if the run differs from what was delivered.
func (s *requestState) deliverPart(a *attempt, ev runner.Event) error {
	a.finished = a.finished || ev.HasFinishReason()
	if ev.HasContent() {
		a.textEvents++
		if a.textEvents <= len(s.delivered) {
			return s.compareChoices(s.delivered[a.textEvents-1], ev)
		}
	}
	if a.textEvents < len(s.delivered) {
		if ev.HasFinishReason() {
			return &runner.Error{RunState: answer.Ran, Err: errDiverged}
		}
		return nil
	}
	if ev.HasFinishReason() && s.finished {
		return nil
	}
	s.recordDelivered(ev)
	return s.Sink(ev)
}

// checkID returns an error if the event has another answer id than the first event of the
// run.
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

// compareChoices returns errDiverged if an event has other choices than the event that was
// delivered in its stead.
func (s *requestState) compareChoices(delivered []byte, ev runner.Event) error {
	want, err := choices(delivered)
	if err != nil {
		return err
	}
	got, err := choices(ev.Data)
	if err != nil {
		return err
	}
	if !bytes.Equal(want, got) {
		return errDiverged
	}
	return nil
}

// choices returns the encoded choices of an event.
func choices(data []byte) ([]byte, error) {
	var chunk struct {
		Choices json.RawMessage `json:"choices"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return nil, fmt.Errorf("decode event: %w", err)
	}
	return chunk.Choices, nil
}

// plausibleUsage returns the reported usage, or, if that is impossible, one with the prompt
// limited to its bounds and the completion counted from the events received.
func (s *requestState) plausibleUsage(a *attempt, u *chat.Usage) *chat.Usage {
	plausible := u.PromptTokens >= 0 && u.PromptTokens <= s.MaxPromptTokens &&
		u.CompletionTokens >= 0 && u.CompletionTokens <= s.MaxCompletionTokens &&
		(u.CompletionTokens > 0 || a.textEvents == 0)
	if plausible {
		return u
	}
	wrongUsage.Add(1)
	checked := &chat.Usage{
		PromptTokens:     min(max(u.PromptTokens, 0), s.MaxPromptTokens),
		CompletionTokens: a.receivedTokens(s.MaxCompletionTokens),
	}
	checked.TotalTokens = checked.PromptTokens + checked.CompletionTokens
	return checked
}

// withUsage returns the event with its usage replaced by u, the usage that is billed.
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

// checkFinished returns err, or an error if the stream ended without a finish reason.
func (a *attempt) checkFinished(err error) error {
	if err == nil && !a.finished {
		return &runner.Error{RunState: answer.Ran, Err: errors.New("stream ended without finish reason")}
	}
	return err
}

// runState returns what is known about whether the run has run. A failure to reach the engine
// for the rest of a run does not show that the run has not begun.
func (a *attempt) runState() answer.RunState {
	runState := runner.RunStateOf(a.err)
	switch {
	case a.textEvents > 0:
		return answer.Ran
	case a.mayHaveBegun:
		return max(runState, answer.Unknown)
	default:
		return runState
	}
}

// receivedTokens returns the number of tokens received from the run, at most limit.
func (a *attempt) receivedTokens(limit int64) int64 { return min(int64(a.textEvents), limit) }

// fallbackUsage returns the usage to bill for a run whose engine reported none: the largest
// prompt and the tokens received.
func (s *requestState) fallbackUsage(a *attempt) chat.Usage {
	u := chat.Usage{PromptTokens: s.MaxPromptTokens, CompletionTokens: a.receivedTokens(s.MaxCompletionTokens)}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	return u
}

// recordFailure records the run state and usage of a failed attempt, and cancels its run if it
// may have begun.
func (s *requestState) recordFailure(a *attempt, cancel func(addr, runID string) (chat.Usage, error)) {
	runState := a.runState()
	if runState == answer.NotRun {
		return
	}
	used, err := cancel(a.target, a.runID)
	switch {
	case err != nil:
		s.runState = max(s.runState, runState)
		s.usage = s.fallbackUsage(a)
	case used == chat.Usage{} && a.textEvents == 0:
		// The engine cancelled the run before it began.
	default:
		s.runState = answer.Ran
		s.usage = *s.plausibleUsage(a, &used)
	}
}

// completed returns the outcome of a complete answer.
func (s *requestState) completed(a *attempt) Outcome {
	if a.usage == nil {
		return Outcome{ran: true, usage: s.fallbackUsage(a)}
	}
	return Outcome{ran: true, usage: *a.usage}
}

// failure returns the outcome when no further attempt is made.
func (s *requestState) failure(ctx context.Context) Outcome {
	out := Outcome{ran: s.usage != chat.Usage{}, usage: s.usage, failure: noTargetError(s.runState)}
	if s.runState != answer.NotRun {
		out.failure.Status = fasthttp.StatusBadGateway
		out.failure.Code = "target_failed"
		out.failure.Message = "the target failed while it ran the request"
	}
	if s.refusal != nil && !out.ran {
		out.failure = s.refusal
	}
	if ctx.Err() != nil {
		out.failure = abandonedError(ctx, s.runState)
	}
	return out
}
