package forward

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/request/quarantine"
	"rosevalve/internal/target/placement"
)

// stallFactor is multiplied by the route's goal for the longest gap between events to give
// the time after which a stream counts as stalled.
const stallFactor = 2.5

// unreadAfter is how long a write to the caller takes after which its target is not blamed for ending the stream, for as
// long: nothing was read from it meanwhile.
const unreadAfter = time.Second

// Stream relays the events of a streamed answer, complete and in order. If the stream fails
// or stalls and the route allows it, it is resumed at another instance.
type Stream struct {
	request *activeRequest
	current *attempt
	next    *continuation // asks other instances while current is silent; nil if there is none
	err     error         // why the stream ended before it was complete; nil otherwise
	// slowWriteEnd is when the caller took a part at last, so late that the target may have given up; zero if it did not.
	slowWriteEnd time.Time
	leaving      bool          // the read of current ends because next has an answer
	done         bool          // the stream was relayed to its end
	writeTime    time.Duration // spent in writes to the caller

	shownSound bool // the answer of current has shown that the prompt does not crash engines
}

func newStream(ar *activeRequest, a *attempt) *Stream {
	s := &Stream{request: ar}
	s.switchTo(a)
	return s
}

// switchTo makes the answer of a the one that is relayed.
func (s *Stream) switchTo(a *attempt) {
	s.current, s.shownSound, s.leaving, s.slowWriteEnd = a, false, false, time.Time{}
	a.source.limitSilence = s.limitSilence
}

// WriteTo relays the events to w until the stream is complete, and returns the number of
// bytes written.
//
// After an error the answer to the caller must not be terminated like a complete one.
func (s *Stream) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for {
		b := s.current.source.next()
		if s.leaving {
			// The answer of next has the events of this last read too.
			b = batch{err: b.err}
		}
		if b.numbered > 0 {
			s.dropNext()
			s.request.relayedEvents += b.numbered
		}
		if len(b.text) > 0 {
			s.checkSound(false)
			began := time.Now()
			n, err := w.Write(b.text)
			took := time.Since(began)
			s.writeTime += took
			if took >= unreadAfter {
				s.slowWriteEnd = time.Now()
			}
			written += int64(n)
			if err != nil {
				return written, s.fail(fmt.Errorf("%w: %w", errRelay, err))
			}
		}
		switch {
		case errors.Is(b.err, io.EOF):
			s.complete()
			return written, nil
		case b.err != nil:
			if err := s.resume(b.err); err != nil {
				return written, s.fail(err)
			}
		}
	}
}

// checkSound reports the prompt as harmless to engines once the current attempt shows that.
func (s *Stream) checkSound(complete bool) {
	began := s.current.source.firstEventAt
	if s.shownSound || began.IsZero() || !complete && time.Since(began) < quarantine.SoundAfter {
		return
	}
	s.shownSound = true
	s.request.reportSound(began)
}

// limitSilence sets the time at which a stream that the route allows to be resumed counts as
// stalled. Data without a numbered event does not extend it.
func (s *Stream) limitSilence() error {
	if s.next != nil {
		return nil
	}
	ar := s.request
	if !ar.route.Resumable || !ar.hasTargetsLeft() || ar.route.EventGapGoal == 0 {
		return s.current.resp.LimitSilence(time.Time{}, nil)
	}
	after := time.Duration(stallFactor*float64(ar.route.EventGapGoal)) - s.current.source.waitSinceEvent
	return s.current.resp.LimitSilence(time.Now().Add(after), s.leaveSilent)
}

// leaveSilent reports whether the stalled attempt is to be ended, since another one has the next
// events. While there is none, it begins a race for them.
func (s *Stream) leaveSilent() bool {
	switch {
	case s.next == nil:
		s.next = s.startNext()
		return false
	case !s.next.hasEnded():
		return false
	case s.next.err == nil:
		s.leaving = true
		return true
	default:
		s.dropNext()
		return false
	}
}

// resume ends the attempt that failed with cause and continues the stream at another
// instance. It returns the last cause if the stream cannot be continued.
func (s *Stream) resume(cause error) error {
	ar := s.request
	if !s.wasUnread() {
		ar.reportBrokenOff(s.current.slot, cause, s.shownSound)
	}
	s.current.abort()
	a, err := s.takeNext()
	if a != nil && errors.Is(cause, os.ErrDeadlineExceeded) {
		cause = errGivenUpSilent
	}
	s.endCurrent(placement.Failed, cause)
	if a != nil {
		s.switchTo(a)
		return nil
	}
	if err != nil {
		cause = err
	}
	if !ar.route.Resumable || !ar.mayRetry(cause) {
		return cause
	}
	ar.report(Decision{Kind: Retried, Run: ar.runState, Err: cause, RelayedEvents: ar.relayedEvents})
	if a, err = s.continuationRace().run(); err != nil {
		return err
	}
	s.switchTo(a)
	return nil
}

// continuation is a race for the rest of a stream, which runs beside the attempt that is silent. While
// it runs, it alone uses the request's record of attempts.
type continuation struct {
	race     *race
	ended    chan struct{} // closed when winner and err are set
	notified chan struct{} // closed when the reader of the silent attempt has been interrupted
	winner   *attempt
	err      error
}

// continuationRace returns a race for the rest of the stream.
func (s *Stream) continuationRace() *race {
	return &race{request: s.request, resumeAfter: s.current.source.lastEvent, continues: true}
}

// startNext begins a race for the rest of the stream, or returns nil if no other instance can be asked
// now.
func (s *Stream) startNext() *continuation {
	r := s.continuationRace()
	r.stop = make(chan struct{})
	if !r.tryHedge() {
		return nil
	}
	c := &continuation{race: r, ended: make(chan struct{}), notified: make(chan struct{})}
	interrupt := s.current.resp.Interrupter()
	go func() {
		c.winner, c.err = r.wait()
		close(c.ended)
		interrupt()
		close(c.notified)
	}()
	return c
}

// hasEnded reports whether the race has ended.
func (c *continuation) hasEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// wait returns the result of the race.
func (c *continuation) wait() (*attempt, error) {
	<-c.notified
	return c.winner, c.err
}

// takeNext waits for the end of the race for the rest of the stream and returns the attempt that has
// it. It returns nil if there is no race.
func (s *Stream) takeNext() (*attempt, error) {
	c := s.next
	if c == nil {
		return nil, nil
	}
	s.next = nil
	return c.wait()
}

// dropNext ends the race for the rest of the stream, if there is one. An answer that it has is not
// used: it would repeat an event that the current attempt has sent meanwhile.
func (s *Stream) dropNext() {
	c := s.next
	if c == nil {
		return
	}
	s.next = nil
	close(c.race.stop)
	if a, err := c.wait(); err == nil {
		s.request.discard(a)
	}
}

// wasUnread reports whether nothing was read from the target until shortly ago, since the caller took nothing.
func (s *Stream) wasUnread() bool {
	return !s.slowWriteEnd.IsZero() && time.Since(s.slowWriteEnd) < unreadAfter
}

// endCurrent ends the current attempt with the outcome o.
func (s *Stream) endCurrent(o placement.Outcome, cause error) {
	ar := s.request
	if ar.interrupted() || s.wasUnread() {
		o = placement.Inconclusive
	}
	a := s.current
	a.end(o)
	ar.report(Decision{Kind: AttemptFailed, Attempt: a.number, Instance: a.slot.ID(), Addr: a.slot.Addr(), Outcome: o, Run: ar.runState, Err: cause, RelayedEvents: ar.relayedEvents})
}

// complete ends a stream that was relayed to its end.
func (s *Stream) complete() {
	s.done = true
	s.dropNext()
	s.checkSound(true)
	s.current.release()
	s.reportTokenRate()
	s.current.slot.End(placement.Served)
}

// reportTokenRate passes the token rate of the stream to the placement, if a single engine sent
// all of it. The tokens of the first event are not counted, since that event comes before the
// measured time.
func (s *Stream) reportTokenRate() {
	ar := s.request
	if ar.service.Engine == nil || ar.attempts > 1 {
		return
	}
	s.current.slot.ObserveStream((ar.relayedEvents-1)*ar.service.Engine.TokensPerEvent, time.Since(ar.r.Arrived)-ar.timeToAnswer)
}

// fail records err as the reason why the stream is incomplete, and returns it.
func (s *Stream) fail(err error) error {
	s.err = err
	return err
}

// close ends the stream, whether it is complete or not.
func (s *Stream) close() {
	if s.done {
		return
	}
	if s.err == nil {
		s.err = errNotRelayed
	}
	s.dropNext()
	s.current.end(placement.Inconclusive)
}

// Elapsed returns the time since the request arrived.
func (s *Stream) Elapsed() time.Duration { return time.Since(s.request.r.Arrived) }
