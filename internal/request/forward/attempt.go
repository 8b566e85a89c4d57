package forward

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/memory"
	"rosevalve/internal/target/placement"
	"rosevalve/internal/target/runner"
	"rosevalve/internal/target/upstream"
	"rosevalve/internal/workspace/plan"
)

// errNoSignature reports an answer that its target has not signed.
var errNoSignature = errors.New("answer bears no signature of its target")

// attempt is the request sent to one instance. Its goroutine owns the fields behind buffering until
// the attempt is in race.ended.
type attempt struct {
	request     *activeRequest
	slot        *placement.Slot
	number      int   // counted from 1
	resumeAfter int64 // number of the last event that is not requested
	continues   bool  // its events continue those of an earlier attempt
	cancel      context.CancelCauseFunc
	silent      bool        // another attempt was begun because its instance sent nothing
	buffering   atomic.Bool // the body of an answer that is not a stream is being read

	resp     *upstream.Response // nil if no header has arrived
	headerAt time.Time          // when the header arrived
	source   *source            // reads the events of a stream; nil for other answers
	body     []byte             // of other answers
	memory   memory.Reservation // reserved for body
	err      error              // why it has no answer; nil if it has one

	// status and header are those of an answer that was detached from its connection.
	status int
	header fasthttp.ResponseHeader
}

// run sends the request and reads the answer, of a stream up to its first event. The end of ctx also
// ends the reading of the rest of a stream.
func (a *attempt) run(ctx context.Context) {
	a.resp, a.err = a.send(ctx)
	if a.err != nil {
		return
	}
	a.slot.AnswerStarted()
	a.headerAt = time.Now()
	if a.isStream() {
		a.source = newSource(a.resp, a.resumeAfter, a.continues)
		a.err = a.readFirstEvents()
		return
	}
	a.buffering.Store(true)
	a.memory.Use(&a.request.f.BodyMemory)
	a.body, a.err = a.resp.ReadBody(a.request.f.maxBody(), a.growBody)
}

// send sends the request to the instance and returns when the header of its answer has arrived. A
// request that may run only once goes on a new connection or on one on which the instance has just
// answered, since an idle one may have failed unnoticed.
func (a *attempt) send(ctx context.Context) (*upstream.Response, error) {
	ar := a.request
	once := !ar.route.Retryable()
	conn, err := a.slot.Conn(ctx, once)
	if err != nil {
		return nil, err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	ar.f.Encode(req, ar.r, Attempt{
		Instance:    a.slot.ID(),
		Workspace:   ar.workspaceName(),
		TimeLeft:    time.Until(ar.deadline),
		Priority:    ar.priority,
		ResumeAfter: a.resumeAfter,
	})
	return conn.Send(ctx, upstream.Request{AttemptID: ar.r.ID, Once: once, Request: req})
}

// isStream reports whether the answer is to be relayed event by event.
func (a *attempt) isStream() bool {
	return a.continues || a.request.route.Kind == plan.Streaming && a.resp.Status() == fasthttp.StatusOK
}

// readFirstEvents reads a stream until it shows that its target answers: until its first events have
// arrived, or its end.
func (a *attempt) readFirstEvents() error {
	if err := a.checkStreamHeader(); err != nil {
		return err
	}
	a.source.prefetch()
	if err := a.source.prefetchedErr(); err != nil {
		return fmt.Errorf("read first event: %w", err)
	}
	return nil
}

// checkStreamHeader returns an error unless the header is that of a stream which may be relayed.
func (a *attempt) checkStreamHeader() error {
	if a.continues {
		return checkContinuation(a.resp, a.request.f.HasSignature)
	}
	if !a.request.f.HasSignature(a.resp.Header()) {
		return errNoSignature
	}
	return nil
}

// check returns an error if the answer must not be relayed. mayDefer is set if another attempt may
// still give a better one.
func (a *attempt) check(mayDefer bool) error {
	if a.source != nil {
		return nil
	}
	status := a.resp.Status()
	switch {
	case !a.request.f.HasSignature(a.resp.Header()) && status < fasthttp.StatusMultipleChoices:
		return errNoSignature
	case status >= fasthttp.StatusInternalServerError && mayDefer:
		return fmt.Errorf("target answered %d", status)
	case impliesNotRun(status):
		// The status alone does not prove that the target has not run the request.
		return fmt.Errorf("target answered %d and may have run the request", status)
	default:
		return nil
	}
}

// reachedTarget reports whether the attempt counts as sent to its target. It does not if nothing was
// sent.
func (a *attempt) reachedTarget() bool { return a.resp != nil || reachedTarget(a.err) }

// runState returns what the attempt shows about whether the request ran.
func (a *attempt) runState() answer.RunState {
	if a.resp != nil {
		return answer.Ran
	}
	return runner.RunStateOf(a.err)
}

// end ends the attempt with an outcome. It may be called again without effect.
func (a *attempt) end(o placement.Outcome) {
	a.abort()
	a.slot.End(o)
}

// abort ends the exchange with the target, which makes most targets stop processing the request.
func (a *attempt) abort() {
	if a.resp != nil {
		a.resp.Abort()
	}
	a.cancel(nil)
	a.memory.Release()
}

// detach ends the exchange after a complete answer that is not a stream, and keeps the answer.
func (a *attempt) detach() {
	a.status = a.resp.Status()
	a.resp.Header().CopyTo(&a.header)
	a.release()
}

// isFailure reports whether the answer is a failure of its target that may be relayed.
func (a *attempt) isFailure() bool {
	status := a.resp.Status()
	return a.source == nil && status >= fasthttp.StatusInternalServerError && !impliesNotRun(status)
}

// release ends the exchange after a complete answer, whose connection can be used again.
func (a *attempt) release() {
	a.resp.Release()
	a.cancel(nil)
}
