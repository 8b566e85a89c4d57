package forward

import (
	"time"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/quarantine"
	"rosevalve/internal/target/crash"
	"rosevalve/internal/target/placement"
	"rosevalve/internal/target/runner"
	"rosevalve/internal/target/upstream"
)

// blockedError reports that a prompt is kept from the engines.
type blockedError struct{ block *quarantine.Block }

// Error names the parts of the prompt and the crashes that are the reason.
func (e *blockedError) Error() string { return e.block.Reason() }

// refusal returns the answer to a request that has not been sent because of the block.
func (e *blockedError) refusal() *answer.Error {
	return answer.Retryable(fasthttp.StatusServiceUnavailable, quarantine.RefusalCode, e.block.RetryAfter(time.Now()), "the request is not sent: %v", e)
}

// findSharedParts sets sharedParts for a request to a model engine: all parts but the last.
func (ar *activeRequest) findSharedParts() {
	if ar.r.Prompt == nil || ar.service.Engine == nil {
		return
	}
	for n, part := range ar.r.Prompt.Parts {
		if n < len(ar.r.Prompt.Parts)-1 {
			ar.sharedParts = append(ar.sharedParts, part.ID)
		}
	}
}

// checkQuarantine refuses a request that has just arrived if its prompt is blocked.
func (ar *activeRequest) checkQuarantine() *answer.Error {
	block, trial := ar.f.Quarantine.Admit(ar.ctx, ar.sharedParts)
	ar.trial = trial
	if block == nil {
		return nil
	}
	return (&blockedError{block: block}).refusal()
}

// recheckQuarantine returns an error if the prompt was blocked since the request arrived or was
// last sent. A trial is sent once all the same.
func (ar *activeRequest) recheckQuarantine() error {
	if ar.trial {
		ar.trial = false
		return nil
	}
	block := ar.f.Quarantine.Find(ar.sharedParts)
	if block == nil {
		return nil
	}
	return &runner.Error{RunState: answer.NotRun, Err: &blockedError{block: block}}
}

// reportSound reports that an engine began to answer the request at a time and did not crash.
func (ar *activeRequest) reportSound(began time.Time) {
	if ar.service.Engine != nil {
		ar.f.Quarantine.ObserveSound(ar.sharedParts, began)
	}
}

// reportBrokenOff reports an attempt that failed with err to the placement and the crash detector if its
// connection may have broken because the target crashed. shownSound is set if the answer shows that the
// request did not cause that.
func (ar *activeRequest) reportBrokenOff(slot *placement.Slot, err error, shownSound bool) {
	if ar.ctx.Err() != nil || !upstream.BrokenOff(err) {
		return
	}
	slot.ConnectionLost()
	if ar.service.Engine == nil {
		return
	}
	lost := crash.Lost{Service: ar.service.Name, Instance: slot.ID(), Addr: slot.Addr(), Incarnation: slot.Incarnation()}
	if !shownSound {
		for n, part := range ar.sharedParts {
			lost.Parts = append(lost.Parts, crash.Part{ID: part, Position: n})
		}
	}
	ar.f.Crashes.ConnectionLost(lost)
}
