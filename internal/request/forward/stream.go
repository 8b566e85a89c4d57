package forward

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/request/quarantine"
	"rosevalve/internal/target/placement"
)

const (
	// stallFactor is multiplied by the route's goal for the longest gap between events to give
	// the time after which a stream counts as stalled.
	stallFactor = 2.5
	// initialBufferSize is the initial size of the buffer of a stream, in bytes.
	initialBufferSize = 1024
	// maxBytesWithoutEvent is the number of bytes that a stream may send without a numbered
	// event.
	maxBytesWithoutEvent = 64 << 10
)

var (
	eventTerminator  = []byte("\n\n")
	eventNumberField = []byte("id:")
)

var (
	// errMissingEvents reports a gap in the event numbers of a stream.
	errMissingEvents = errors.New("stream has a gap in its event numbers")
	// errNoEvent reports that a stream sends data, but no numbered event.
	errNoEvent = errors.New("stream sent no numbered event")
)

// Stream relays the events of a streamed answer, complete and in order. If the stream fails
// and the route allows it, it is resumed at another instance.
type Stream struct {
	request   *activeRequest
	attempt   *sentAttempt
	lastEvent int64 // number of the last event that was relayed
	buf       []byte
	err       error // why the stream ended before it was complete; nil otherwise
	done      bool  // the stream was relayed to its end
	resumed   bool  // the current attempt continues the events of an earlier one

	// bytesSinceEvent and waitSinceEvent are the bytes received and the time spent in reads
	// since the last numbered event.
	bytesSinceEvent int
	waitSinceEvent  time.Duration
	writeTime       time.Duration // spent in writes to the caller

	attemptEventAt time.Time // when the first event of the current attempt arrived; zero before that
	shownSound     bool      // the answer has shown that the prompt does not crash engines
}

func newStream(ar *activeRequest, sent *sentAttempt) *Stream {
	return &Stream{request: ar, attempt: sent, lastEvent: ar.r.ResumeAfter, buf: make([]byte, 0, initialBufferSize)}
}

// WriteTo relays the events to w until the stream is complete, and returns the number of
// bytes written.
//
// After an error the answer to the caller must not be terminated like a complete one.
func (s *Stream) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for {
		events, err := s.readEvents()
		if len(events) > 0 {
			s.checkSound(false)
			began := time.Now()
			n, writeErr := w.Write(events)
			s.writeTime += time.Since(began)
			written += int64(n)
			if writeErr != nil {
				return written, s.fail(fmt.Errorf("%w: %w", errRelay, writeErr))
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			s.complete()
			return written, nil
		case err != nil:
			s.request.reportBrokenOff(s.attempt.slot, err, s.shownSound)
			if resumeErr := s.resume(err); resumeErr != nil {
				return written, s.fail(resumeErr)
			}
		}
	}
}

// readEvents returns the next complete events, which are valid until the next call. The
// error is io.EOF at the end of the stream; events may be returned with it.
func (s *Stream) readEvents() ([]byte, error) {
	s.buf = s.buf[:copy(s.buf, s.buf[s.relayedBytes():])]
	for {
		if len(s.buf) == cap(s.buf) {
			s.buf = append(s.buf, 0)[:len(s.buf)]
		}
		if err := s.attempt.resp.LimitSilence(s.stallDeadline(), s.leaveSilent); err != nil {
			return nil, fmt.Errorf("limit the wait for the next event: %w", err)
		}
		began := time.Now()
		n, err := s.attempt.resp.Read(s.buf[len(s.buf):cap(s.buf)])
		s.waitSinceEvent += time.Since(began)
		s.bytesSinceEvent += n
		s.buf = s.buf[:len(s.buf)+n]
		events, orderErr := s.completeEvents()
		if orderErr != nil {
			return events, orderErr
		}
		if s.bytesSinceEvent > maxBytesWithoutEvent {
			return events, fmt.Errorf("%w in the last %d bytes", errNoEvent, s.bytesSinceEvent)
		}
		if errors.Is(err, io.EOF) && (len(events) < len(s.buf) || s.endedBeforeAnswer()) {
			err = io.ErrUnexpectedEOF
		}
		if len(events) > 0 || err != nil {
			return events, err
		}
	}
}

// checkSound reports the prompt as harmless to engines once the current attempt shows that.
func (s *Stream) checkSound(complete bool) {
	if s.shownSound || s.attemptEventAt.IsZero() || !complete && time.Since(s.attemptEventAt) < quarantine.SoundAfter {
		return
	}
	s.shownSound = true
	s.request.reportSound(s.attemptEventAt)
}

// endedBeforeAnswer reports whether the attempt, which has ended, sent nothing that shows that its
// answer had begun, nor an explicit end. A length of zero does not show that a stream that was
// resumed had no events left: a target that streams does not know the length.
func (s *Stream) endedBeforeAnswer() bool {
	if !s.attemptEventAt.IsZero() {
		return false
	}
	if s.resumed {
		return s.attempt.resp.Header().ContentLength() != chunkedLength
	}
	return !s.attempt.resp.HasExplicitEnd()
}

// stallDeadline returns the time at which a stream that the route allows to be resumed counts as
// stalled, or the zero time for other streams. Data without a numbered event does
// not extend it.
func (s *Stream) stallDeadline() time.Time {
	ar := s.request
	if !ar.route.Resumable || !ar.hasTargetsLeft() || ar.route.EventGapGoal == 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(stallFactor*float64(ar.route.EventGapGoal)) - s.waitSinceEvent)
}

// leaveSilent reports whether the attempt at an instance that sends no events is given up.
func (s *Stream) leaveSilent() bool { return s.request.leaveSilent(s.attempt.slot) }

// relayedBytes returns the length of the complete events at the front of the buffer, which
// were relayed after the previous read.
func (s *Stream) relayedBytes() int {
	i := bytes.LastIndex(s.buf, eventTerminator)
	if i < 0 {
		return 0
	}
	return i + len(eventTerminator)
}

// completeEvents returns the complete events at the front of the buffer and checks that
// their numbers are consecutive.
func (s *Stream) completeEvents() ([]byte, error) {
	end := 0
	for {
		size := bytes.Index(s.buf[end:], eventTerminator)
		if size < 0 {
			return s.buf[:end], nil
		}
		size += len(eventTerminator)
		event := s.buf[end : end+size]
		number, ok := eventNumber(event)
		if err := s.checkEvent(event, ok); err != nil {
			return s.buf[:end], err
		}
		if ok && number != s.lastEvent+1 {
			return s.buf[:end], fmt.Errorf("%w: event %d follows event %d", errMissingEvents, number, s.lastEvent)
		}
		end += size
		if !ok {
			continue
		}
		s.lastEvent = number
		s.request.relayedEvents++
		s.bytesSinceEvent, s.waitSinceEvent = len(s.buf)-end, 0
		if s.attemptEventAt.IsZero() {
			s.attemptEventAt = time.Now()
		}
	}
}

// eventNumber returns the number of an event, and reports whether it has a valid one.
func eventNumber(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		text, ok := bytes.CutPrefix(line, eventNumberField)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
		return n, err == nil
	}
	return 0, false
}

// resume ends the attempt that failed with cause and continues the stream at another
// instance. It returns the last cause if the stream cannot be continued.
func (s *Stream) resume(cause error) error {
	ar := s.request
	s.endAttempt(placement.Failed, cause)
	for {
		if !ar.route.Resumable || !ar.mayRetry(cause) {
			return cause
		}
		ar.report(Decision{Kind: Retried, Run: ar.runState, Err: cause, RelayedEvents: ar.relayedEvents})
		next, err := ar.attempt(s.lastEvent)
		if err == nil {
			err = s.switchTo(next)
		}
		if err == nil {
			return nil
		}
		cause = err
	}
}

// switchTo continues the stream with the answer of another instance.
func (s *Stream) switchTo(next *sentAttempt) error {
	if err := s.checkContinuation(next.resp); err != nil {
		return s.request.reject(next, err)
	}
	s.attempt, s.resumed = next, true
	s.buf = s.buf[:0]
	s.bytesSinceEvent, s.waitSinceEvent = 0, 0
	s.attemptEventAt, s.shownSound = time.Time{}, false
	return nil
}

// endAttempt ends the current attempt with the outcome o.
func (s *Stream) endAttempt(o placement.Outcome, cause error) {
	ar := s.request
	if ar.interrupted() {
		o = placement.Inconclusive
	}
	s.attempt.resp.Abort()
	s.attempt.slot.End(o)
	ar.report(Decision{Kind: AttemptFailed, Instance: s.attempt.slot.ID(), Addr: s.attempt.slot.Addr(), Outcome: o, Run: ar.runState, Err: cause, RelayedEvents: ar.relayedEvents})
}

// complete ends a stream that was relayed to its end.
func (s *Stream) complete() {
	s.done = true
	s.checkSound(true)
	s.attempt.resp.Release()
	s.reportTokenRate()
	s.attempt.slot.End(placement.Served)
}

// reportTokenRate passes the token rate of the stream to the placement, if a single engine sent
// all of it. The tokens of the first event are not counted, since that event comes before the
// measured time.
func (s *Stream) reportTokenRate() {
	ar := s.request
	if ar.service.Engine == nil || ar.attempts > 1 {
		return
	}
	s.attempt.slot.ObserveStream((ar.relayedEvents-1)*ar.service.Engine.TokensPerEvent, time.Since(ar.r.Arrived)-ar.timeToAnswer)
}

// fail records err as the reason why the stream is incomplete, and returns it.
func (s *Stream) fail(err error) error {
	s.err = err
	return err
}

// close ends the stream, whether it is complete or not.
func (s *Stream) close() {
	if !s.done && s.err == nil {
		s.err = errNotRelayed
	}
	if s.done {
		return
	}
	s.attempt.resp.Abort()
	s.attempt.slot.End(placement.Inconclusive)
}

// Elapsed returns the time since the request arrived.
func (s *Stream) Elapsed() time.Duration { return time.Since(s.request.r.Arrived) }
