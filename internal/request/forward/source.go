package forward

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/target/upstream"
)

const (
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

// batch is what one read of a source returns.
type batch struct {
	text     []byte // complete events, valid until the next read
	numbered int64  // how many of them have a number
	err      error  // io.EOF at the end of the stream; events may come with it
}

// source reads the events of one attempt.
type source struct {
	resp      *upstream.Response
	continues bool  // the events continue those of an earlier attempt
	lastEvent int64 // number of the last complete event
	buf       []byte
	// limitSilence is called before each read that waits for the target; nil sets no limit.
	limitSilence func() error

	// bytesSinceEvent and waitSinceEvent are the bytes received and the time spent in reads
	// since the last numbered event.
	bytesSinceEvent int
	waitSinceEvent  time.Duration

	firstEventAt time.Time // when the first numbered event arrived; zero before that
	prefetched   *batch    // was read already; nil if nothing was
}

func newSource(resp *upstream.Response, resumeAfter int64, continues bool) *source {
	return &source{resp: resp, continues: continues, lastEvent: resumeAfter, buf: make([]byte, 0, initialBufferSize)}
}

// prefetch reads up to the first numbered event, which the next call of next returns with the text before
// it. A comment does not show that the target has an answer.
func (s *source) prefetch() {
	b := s.read(1)
	s.prefetched = &b
}

// prefetchedErr returns the error with which the stream ended without a numbered event, unless it was
// complete.
func (s *source) prefetchedErr() error {
	if s.prefetched.numbered > 0 || errors.Is(s.prefetched.err, io.EOF) {
		return nil
	}
	return s.prefetched.err
}

// next returns the next complete events.
func (s *source) next() batch {
	if b := s.prefetched; b != nil {
		s.prefetched = nil
		return *b
	}
	return s.read(0)
}

// read returns the next complete events. It waits until at least minNumbered of them have a number, or for
// the end of the stream.
func (s *source) read(minNumbered int64) batch {
	s.buf = s.buf[:copy(s.buf, s.buf[s.returnedBytes():])]
	for {
		if len(s.buf) == cap(s.buf) {
			s.buf = append(s.buf, 0)[:len(s.buf)]
		}
		if s.limitSilence != nil {
			if err := s.limitSilence(); err != nil {
				return batch{err: fmt.Errorf("limit the wait for the next event: %w", err)}
			}
		}
		began := time.Now()
		n, err := s.resp.Read(s.buf[len(s.buf):cap(s.buf)])
		s.waitSinceEvent += time.Since(began)
		s.bytesSinceEvent += n
		s.buf = s.buf[:len(s.buf)+n]
		b := s.completeEvents()
		if b.err != nil {
			return b
		}
		if s.bytesSinceEvent > maxBytesWithoutEvent {
			b.err = fmt.Errorf("%w in the last %d bytes", errNoEvent, s.bytesSinceEvent)
			return b
		}
		if errors.Is(err, io.EOF) && (len(b.text) < len(s.buf) || s.endedBeforeAnswer()) {
			err = io.ErrUnexpectedEOF
		}
		if len(b.text) > 0 && b.numbered >= minNumbered || err != nil {
			b.err = err
			return b
		}
	}
}

// endedBeforeAnswer reports whether the attempt, which has ended, sent nothing that shows that its
// answer had begun, nor an explicit end. A length of zero does not show that a stream that was
// resumed had no events left: a target that streams does not know the length.
func (s *source) endedBeforeAnswer() bool {
	if !s.firstEventAt.IsZero() {
		return false
	}
	if s.continues {
		return s.resp.Header().ContentLength() != chunkedLength
	}
	return !s.resp.HasExplicitEnd()
}

// returnedBytes returns the length of the complete events at the front of the buffer, which
// the previous read has returned.
func (s *source) returnedBytes() int {
	i := bytes.LastIndex(s.buf, eventTerminator)
	if i < 0 {
		return 0
	}
	return i + len(eventTerminator)
}

// completeEvents returns the complete events at the front of the buffer and checks that
// their numbers are consecutive.
func (s *source) completeEvents() batch {
	var b batch
	end := 0
	for {
		b.text = s.buf[:end]
		size := bytes.Index(s.buf[end:], eventTerminator)
		if size < 0 {
			return b
		}
		size += len(eventTerminator)
		event := s.buf[end : end+size]
		number, ok := eventNumber(event)
		if b.err = s.checkEvent(event, ok); b.err != nil {
			return b
		}
		if ok && number != s.lastEvent+1 {
			b.err = fmt.Errorf("%w: event %d follows event %d", errMissingEvents, number, s.lastEvent)
			return b
		}
		end += size
		if !ok {
			continue
		}
		s.lastEvent = number
		b.numbered++
		s.bytesSinceEvent, s.waitSinceEvent = len(s.buf)-end, 0
		if s.firstEventAt.IsZero() {
			s.firstEventAt = time.Now()
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
