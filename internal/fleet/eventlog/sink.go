package eventlog

import (
	"context"
	"io"
	"sync"
	"time"
)

const (
	// flushInterval is how long a line waits at most before it is written.
	flushInterval = 100 * time.Millisecond
	// bufferBytes is how much may wait for the reader before lines are dropped.
	bufferBytes = 256 << 10
)

// sink takes lines without ever waiting for its writer.
type sink struct {
	out io.Writer

	mu      sync.Mutex // guards the fields below
	waiting []byte
	kicked  chan struct{}
}

func newSink(out io.Writer) *sink { return &sink{out: out, kicked: make(chan struct{}, 1)} }

// full reports whether the reader is too far behind for another line.
func (s *sink) full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting) >= bufferBytes
}

// Write takes one line.
func (s *sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	s.waiting = append(s.waiting, line...)
	s.mu.Unlock()
	select {
	case s.kicked <- struct{}{}:
	default:
	}
	return len(line), nil
}

// run writes what waits, until ctx ends, and then what is left.
func (s *sink) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			s.flush()
			return
		case <-s.kicked:
		}
		s.flush()
		timer := time.NewTimer(flushInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			s.flush()
			return
		case <-timer.C:
		}
	}
}

func (s *sink) flush() {
	s.mu.Lock()
	lines := s.waiting
	s.waiting = nil
	s.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	// Nothing can be told if standard output is gone.
	_, _ = s.out.Write(lines)
}
