package dispatch

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/quarantine"
	"rosevalve/internal/target/crash"
	"rosevalve/internal/target/upstream"
)

// checkQuarantine returns the answer to a request that has just arrived if its prompt is blocked.
func (d *Dispatcher) checkQuarantine(ctx context.Context, s *requestState) *answer.Error {
	if d.Quarantine == nil {
		return nil
	}
	block, trial := d.Quarantine.Admit(ctx, s.SharedParts)
	s.trial = trial
	if block == nil {
		return nil
	}
	return blockedError(block)
}

// blocked reports whether the prompt was blocked since the request arrived or was last sent, and
// sets the refusal if it has not run. A trial is sent once all the same.
func (d *Dispatcher) blocked(s *requestState) bool {
	if d.Quarantine == nil {
		return false
	}
	if s.trial {
		s.trial = false
		return false
	}
	block := d.Quarantine.Find(s.SharedParts)
	if block != nil && s.runState == answer.NotRun {
		s.refusal = blockedError(block)
	}
	return block != nil
}

// blockedError returns the answer to a request that is not sent because of the block.
func blockedError(b *quarantine.Block) *answer.Error {
	return answer.Retryable(fasthttp.StatusServiceUnavailable, quarantine.RefusalCode, b.RetryAfter(time.Now()), "the request is not sent: %s", b.Reason())
}

// observeAnswer reports the prompt as harmless to engines once the answer shows that.
func (d *Dispatcher) observeAnswer(s *requestState, a *attempt) {
	switch {
	case a.textEvents == 0 || a.takenOver:
	case a.answerAt.IsZero():
		a.answerAt = time.Now()
	case time.Since(a.answerAt) >= quarantine.SoundAfter:
		d.reportSound(s, a)
	}
}

// reportSound reports the prompt as harmless to engines.
func (d *Dispatcher) reportSound(s *requestState, a *attempt) {
	if d.Quarantine == nil || a.shownSound || a.answerAt.IsZero() {
		return
	}
	a.shownSound = true
	d.Quarantine.ObserveSound(s.SharedParts, a.answerAt)
}

// reportBrokenOff reports a failed attempt to the crash detector if it may have failed because the
// engine crashed.
func (d *Dispatcher) reportBrokenOff(s *requestState, a *attempt) {
	if d.Crashes == nil || !upstream.BrokenOff(a.err) {
		return
	}
	lost := crash.Lost{Service: s.Model, Instance: a.target, Addr: a.target}
	if !a.shownSound {
		for n, part := range s.SharedParts {
			lost.Parts = append(lost.Parts, crash.Part{ID: part, Position: n})
		}
	}
	d.Crashes.ConnectionLost(lost)
}
