package forward

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/placement"
	"rosevalve/internal/target/runner"
	"rosevalve/internal/target/upstream"
)

const (
	// silenceShare is the fraction of the route's latency goal after which a target that has not
	// begun to answer counts as silent.
	silenceShare = 0.9
	// hedgeInterval is the time between two looks for a target that can take a request from a silent
	// one.
	hedgeInterval = 500 * time.Millisecond
)

var (
	// errSilent reports that a target sends nothing, so that another one is asked beside it.
	errSilent = errors.New("target is silent")
	// errNoneTakesOver reports that a target is silent and no other can be asked.
	errNoneTakesOver = errors.New("target is silent, and no other one can take the request now")
	// errGivenUpSilent is the cause with which the attempt at a silent target ends once another one
	// has answered.
	errGivenUpSilent = errors.New("target was silent until another one answered")
)

// race runs the attempts of a request until one has an answer to relay. Another attempt begins when
// one fails, or when its target is silent, as far as the route and the retry budget allow. A silent
// target may be sound, so that its attempt goes on until another one has an answer.
type race struct {
	request     *activeRequest
	resumeAfter int64         // number of the last event that is not requested
	continues   bool          // the answer continues a stream that was relayed in part
	stop        chan struct{} // closed by the owner to end the race; nil if it never is

	running []*attempt
	failure *attempt      // has a target's failure, which is relayed if no attempt has a better answer; nil without one
	ended   chan *attempt // attempts whose run has returned
	silence *time.Timer   // looks for silent targets; nil if the request may be sent to one target only
}

// run sends the request and returns the attempt whose answer is to be relayed.
func (r *race) run() (*attempt, error) {
	if err := r.begin(); err != nil {
		return nil, err
	}
	return r.wait()
}

// wait returns the attempt whose answer is to be relayed; the first one has begun.
func (r *race) wait() (*attempt, error) {
	defer r.endRunning()
	for {
		select {
		case a := <-r.ended:
			cause := r.judge(a)
			if cause == nil {
				return a, nil
			}
			// Without a replacement, those that are running may have an answer yet.
			if err := r.replace(cause); err != nil && len(r.running) == 0 {
				return r.takeFailure(err)
			}
		case <-r.silenceC():
			r.silence.Reset(hedgeInterval)
			r.hedge()
		case <-r.stop:
			return nil, upstream.ErrSuperseded
		}
	}
}

// takeFailure returns the attempt that has a target's failure, or err without one.
func (r *race) takeFailure(err error) (*attempt, error) {
	a := r.failure
	if a == nil || r.request.interrupted() {
		return nil, err
	}
	r.failure = nil
	return a, nil
}

// silenceC returns the channel of the timer, or nil without one.
func (r *race) silenceC() <-chan time.Time {
	if r.silence == nil {
		return nil
	}
	return r.silence.C
}

// begin sends the request to the best instance.
func (r *race) begin() error {
	ar := r.request
	slot, err := ar.f.Placement.Choose(ar.ctx, ar.service.Name, ar.requirements())
	if err != nil {
		return &runner.Error{RunState: answer.NotRun, Err: err}
	}
	return r.start(slot)
}

// replace begins another attempt in place of one that failed with cause. It returns the error with
// which the request fails if none is running.
func (r *race) replace(cause error) error {
	ar := r.request
	if !ar.mayRetry(cause) {
		return cause
	}
	ar.report(Decision{Kind: Retried, Run: ar.runState, Err: cause, RelayedEvents: ar.relayedEvents})
	return r.begin()
}

// start begins the attempt for which the slot was reserved.
func (r *race) start(slot *placement.Slot) error {
	ar := r.request
	if err := ar.recheckQuarantine(); err != nil {
		slot.End(placement.Inconclusive)
		return err
	}
	ar.attempts++
	ar.triedInstances = append(ar.triedInstances, slot.ID())
	ar.report(Decision{Kind: AttemptSent, Instance: slot.ID(), Addr: slot.Addr(), Reason: slot.InstanceState(), TokenCount: ar.reserved()})
	ctx, cancel := context.WithCancelCause(ar.ctx)
	a := &attempt{request: ar, slot: slot, number: ar.attempts, resumeAfter: r.resumeAfter, continues: r.continues, cancel: cancel}
	r.running = append(r.running, a)
	if r.ended == nil {
		r.ended = make(chan *attempt, 1)
	}
	if !ar.route.Retryable() {
		a.run(ctx)
		r.ended <- a
		return nil
	}
	r.watchSilence()
	go func() {
		a.run(ctx)
		r.ended <- a
	}()
	return nil
}

// watchSilence sets the timer to when the attempt that begins now counts as silent.
func (r *race) watchSilence() {
	ar := r.request
	if !ar.hasTargetsLeft() || ar.route.LatencyGoal == 0 {
		return
	}
	after := time.Duration(silenceShare * float64(ar.route.LatencyGoal))
	if r.silence == nil {
		r.silence = time.NewTimer(after)
		return
	}
	r.silence.Reset(after)
}

// hedge sends the request to one more instance beside those that are silent, unless one of them sends a
// body that is not complete yet.
func (r *race) hedge() {
	buffering := slices.ContainsFunc(r.running, func(a *attempt) bool { return a.buffering.Load() })
	if buffering || !r.tryHedge() {
		return
	}
	for _, a := range r.running[:len(r.running)-1] {
		a.silent = true
	}
}

// tryHedge begins an attempt beside those whose targets are silent. It reports false if the route,
// the quarantine, the retry budget or the instances allow none now.
func (r *race) tryHedge() bool {
	ar := r.request
	if ar.ctx.Err() != nil || !ar.hasTargetsLeft() || ar.recheckQuarantine() != nil {
		return false
	}
	slot, err := ar.f.Placement.Choose(ar.ctx, ar.service.Name, ar.requirements())
	if err == nil && ar.f.RetryBudget.AllowRetry(ar.service.Name) {
		ar.report(Decision{Kind: Retried, Run: ar.runState, Err: errSilent, RelayedEvents: ar.relayedEvents})
		return r.start(slot) == nil
	}
	if err == nil {
		slot.End(placement.Inconclusive)
	}
	if !ar.silenceReported {
		ar.silenceReported = true
		ar.report(Decision{Kind: RetryDenied, Run: ar.runState, Err: errors.Join(errNoneTakesOver, err)})
	}
	return false
}

// judge records the result of an attempt that has ended. It returns an error if the attempt has no
// answer to relay.
func (r *race) judge(a *attempt) error {
	ar := r.request
	r.running = slices.DeleteFunc(r.running, func(other *attempt) bool { return other == a })
	if !a.reachedTarget() {
		ar.forgetTried(a.slot.ID())
	}
	ar.runState = max(ar.runState, a.runState())
	if a.resp == nil {
		return r.recordFailure(a)
	}
	if a.err == nil {
		mayDefer := ar.route.Retryable() && (ar.hasTargetsLeft() || len(r.running) > 0)
		if a.err = a.check(mayDefer); a.err == nil {
			return nil
		}
		if a.isFailure() {
			return r.keepFailure(a)
		}
		return ar.reject(a)
	}
	ar.reportBrokenOff(a.slot, a.err, false)
	return ar.reject(a)
}

// keepFailure records an attempt whose target has failed, and keeps its answer until another attempt has a
// better one. It returns the failure.
func (r *race) keepFailure(a *attempt) error {
	r.dropFailure()
	r.failure = a
	a.detach()
	return r.request.recordRejected(a, a.status)
}

// dropFailure gives up the failure that was kept.
func (r *race) dropFailure() {
	if r.failure != nil {
		r.failure.memory.Release()
	}
	r.failure = nil
}

// recordFailure records an attempt that got no answer, and returns its error.
func (r *race) recordFailure(a *attempt) error {
	ar := r.request
	outcome := ar.outcomeOf(a.err)
	if outcome == placement.Failed {
		ar.reportBrokenOff(a.slot, a.err, false)
	}
	a.end(outcome)
	ar.report(Decision{Kind: AttemptFailed, Attempt: a.number, Instance: a.slot.ID(), Addr: a.slot.Addr(), Outcome: outcome, Run: a.runState(), Err: a.err})
	return a.err
}

// endRunning ends the attempts that are still running, since another one has an answer or the race
// was stopped.
func (r *race) endRunning() {
	if r.silence != nil {
		r.silence.Stop()
	}
	for _, a := range r.running {
		a.cancel(a.supersededBy())
	}
	for range r.running {
		r.request.discard(<-r.ended)
	}
	r.running = nil
	r.dropFailure()
}

// supersededBy returns the cause with which the attempt ends because another one has answered.
func (a *attempt) supersededBy() error {
	if a.silent {
		return errGivenUpSilent
	}
	return upstream.ErrSuperseded
}

// discard ends an attempt that has lost, and records what it shows about its instance.
func (ar *activeRequest) discard(a *attempt) {
	outcome := placement.Inconclusive
	if a.silent && !ar.interrupted() {
		outcome = placement.Failed
	}
	if !a.reachedTarget() {
		ar.forgetTried(a.slot.ID())
	}
	run := a.runState()
	ar.runState = max(ar.runState, run)
	a.end(outcome)
	ar.report(Decision{Kind: AttemptFailed, Attempt: a.number, Instance: a.slot.ID(), Addr: a.slot.Addr(), Outcome: outcome, Run: run, Err: a.supersededBy()})
}

// forgetTried takes back that the request was sent to an instance.
func (ar *activeRequest) forgetTried(id string) {
	ar.triedInstances = slices.DeleteFunc(ar.triedInstances, func(tried string) bool { return tried == id })
}
