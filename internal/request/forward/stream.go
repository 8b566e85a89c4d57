package forward

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/target/placement"
)

const (
	// stallFactor is how many of the longest pauses a stream may stand still.
	stallFactor = 2.5
	// eventSpace is the first size of the buffer of a stream.
	eventSpace = 1024
	// maxIdleBytes is how many bytes a stream may send that bring it no further.
	maxIdleBytes = 64 << 10
)

var (
	eventEnd = []byte("\n\n")
	eventID  = []byte("id:")
)

var (
	// errGap reports that events of a stream are missing.
	errGap = errors.New("events are missing")
	// errIdle reports that a stream sends, but no events.
	errIdle = errors.New("stream goes on without an event")
)

// Stream relays the events of a streamed answer, whole and in order, and goes on at
// another instance where the route allows it.
type Stream struct {
	work *work
	sent *sent
	last int64 // number of the last event that the caller has
	buf  []byte
	err  error // how the stream has ended; nil if it was complete
	done bool

	// idle and waited are the bytes that came, and the time that was waited for them, since
	// the last event with a number.
	idle   int
	waited time.Duration
}

func newStream(w *work, s *sent) *Stream {
	return &Stream{work: w, sent: s, last: w.r.ResumeAfter, buf: make([]byte, 0, eventSpace)}
}

// WriteTo relays the events to w until the stream is complete.
//
// An error means that the caller's answer must not end as if it were complete.
func (s *Stream) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for {
		events, err := s.next()
		if len(events) > 0 {
			n, writeErr := w.Write(events)
			written += int64(n)
			if writeErr != nil {
				return written, s.broken(fmt.Errorf("relay events: %w", writeErr))
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			s.complete()
			return written, nil
		case err != nil:
			if resumeErr := s.resume(err); resumeErr != nil {
				return written, s.broken(resumeErr)
			}
		}
	}
}

// next returns the whole events that come next. The error is io.EOF once the stream is
// complete; events may come with it.
func (s *Stream) next() ([]byte, error) {
	s.buf = s.buf[:copy(s.buf, s.buf[s.consumed():])]
	for {
		if len(s.buf) == cap(s.buf) {
			s.buf = append(s.buf, 0)[:len(s.buf)]
		}
		if err := s.sent.from.SetReadDeadline(s.stalledBy()); err != nil {
			return nil, fmt.Errorf("bound the wait for an event: %w", err)
		}
		began := time.Now()
		n, err := s.sent.from.Read(s.buf[len(s.buf):cap(s.buf)])
		s.waited += time.Since(began)
		s.idle += n
		s.buf = s.buf[:len(s.buf)+n]
		events, orderErr := s.take()
		if orderErr != nil {
			return events, orderErr
		}
		if s.idle > maxIdleBytes {
			return events, fmt.Errorf("%w for %d bytes", errIdle, s.idle)
		}
		if errors.Is(err, io.EOF) && len(events) < len(s.buf) {
			err = io.ErrUnexpectedEOF
		}
		if len(events) > 0 || err != nil {
			return events, err
		}
	}
}

// stalledBy is when a stream that can go on elsewhere counts as stalled. What comes without
// an event does not put that off.
func (s *Stream) stalledBy() time.Time {
	w := s.work
	if !w.route.Resumable || !w.canRepeatElsewhere() || w.route.EventGap == 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(stallFactor*float64(w.route.EventGap)) - s.waited)
}

// consumed returns how much of the buffer has been relayed.
func (s *Stream) consumed() int {
	i := bytes.LastIndex(s.buf, eventEnd)
	if i < 0 {
		return 0
	}
	return i + len(eventEnd)
}

// take returns the whole events at the front of the buffer and checks their numbers.
func (s *Stream) take() ([]byte, error) {
	end := 0
	for {
		size := bytes.Index(s.buf[end:], eventEnd)
		if size < 0 {
			return s.buf[:end], nil
		}
		size += len(eventEnd)
		number, ok := numberOf(s.buf[end : end+size])
		if ok && number != s.last+1 {
			return s.buf[:end], fmt.Errorf("%w: event %d follows event %d", errGap, number, s.last)
		}
		end += size
		if !ok {
			continue
		}
		s.last = number
		s.work.relayed++
		s.idle, s.waited = len(s.buf)-end, 0
	}
}

// numberOf returns the number of an event, if it has one.
func numberOf(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		text, ok := bytes.CutPrefix(line, eventID)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
		return n, err == nil
	}
	return 0, false
}

// resume lets the stream go on at another instance after the failure.
func (s *Stream) resume(cause error) error {
	w := s.work
	s.end(placement.Failed, cause)
	for {
		if !w.route.Resumable || !w.mayRepeat(cause) {
			return cause
		}
		w.note(Decision{Event: Repeated, Run: w.run, Err: cause, Events: w.relayed})
		next, err := w.attempt(s.last)
		if err == nil {
			err = s.join(next)
		}
		if err == nil {
			return nil
		}
		cause = err
	}
}

// join goes on with the answer of another instance.
func (s *Stream) join(next *sent) error {
	if next.from.Status() != fasthttp.StatusOK || !s.work.f.Genuine(next.from.Header()) {
		return s.work.reject(next, fmt.Errorf("target answered %d to the rest of a stream", next.from.Status()))
	}
	s.sent = next
	s.buf = s.buf[:0]
	s.idle, s.waited = 0, 0
	return nil
}

// end ends the attempt that the stream comes from.
func (s *Stream) end(o placement.Outcome, cause error) {
	w := s.work
	if w.ctx.Err() != nil && !w.late() {
		o = placement.Unjudged
	}
	s.sent.from.Drop()
	s.sent.seat.End(o)
	w.note(Decision{Event: Ended, Instance: s.sent.seat.ID(), Addr: s.sent.seat.Addr(), Outcome: o, Run: w.run, Err: cause, Events: w.relayed})
}

// complete ends a stream that was relayed as a whole.
func (s *Stream) complete() {
	s.done = true
	s.sent.from.Keep()
	s.tellPace()
	s.sent.seat.End(placement.Served)
}

// tellPace tells the choice of instances how fast an engine's events came, if all came
// from one. The first event's tokens came before the time that is measured.
func (s *Stream) tellPace() {
	w := s.work
	if w.service.Engine == nil || w.attempts > 1 {
		return
	}
	s.sent.seat.Streamed((w.relayed-1)*w.service.Engine.EventTokens, time.Since(w.r.Arrived)-w.firstEvent)
}

// broken ends a stream whose rest does not come.
func (s *Stream) broken(err error) error {
	s.err = err
	return err
}

// close ends the stream, whether it was relayed as a whole or not.
func (s *Stream) close() {
	if !s.done && s.err == nil {
		s.err = errors.New("stream was left")
	}
	if s.done {
		return
	}
	s.sent.from.Drop()
	s.sent.seat.End(placement.Unjudged)
}

// Took returns the time from the request's arrival to now.
func (s *Stream) Took() time.Duration { return time.Since(s.work.r.Arrived) }
