package eventlog

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"
)

const (
	// flushInterval is the minimum time between two flushes, and so the longest that a line
	// is buffered while the writer keeps up.
	flushInterval = 100 * time.Millisecond
	// bufferBytes is the buffer size at which new lines are dropped.
	bufferBytes = 256 << 10
	// maxWriteBytes is the longest write that a pipe accepts atomically (PIPE_BUF on Linux).
	maxWriteBytes = 4 << 10
)

// sink buffers lines so that adding one never blocks on the writer.
type sink struct {
	out        io.Writer
	afterFlush func() // called after each flush; may be nil

	mu        sync.Mutex    // guards pending and uncharged
	pending   []byte        // lines not yet written
	uncharged int           // bytes added since the last takeUncharged
	wake      chan struct{} // holds a value if run has lines to write
}

func newSink(out io.Writer) *sink { return &sink{out: out, wake: make(chan struct{}, 1)} }

// full reports whether the buffer accepts no further line because the writer is too slow.
func (s *sink) full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) >= bufferBytes
}

// takeUncharged returns the number of bytes added since the previous call.
func (s *sink) takeUncharged() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.uncharged
	s.uncharged = 0
	return n
}

// Write buffers one line. It never fails.
func (s *sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	s.pending = append(s.pending, line...)
	s.uncharged += len(line)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// run flushes the buffer at most once per flushInterval until ctx ends, then flushes it once
// more.
func (s *sink) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			s.flush()
			return
		case <-s.wake:
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

// flush writes the buffered lines. Each write holds whole lines only and, except for a single
// longer line, fits into maxWriteBytes: a pipe accepts such a write completely or not at all,
// so that no reader gets half a line.
func (s *sink) flush() {
	s.mu.Lock()
	lines := s.pending
	s.pending = nil
	s.mu.Unlock()
	for len(lines) > 0 {
		n := wholeLines(lines)
		// An error has nowhere to be reported if the log itself cannot be written.
		_, _ = s.out.Write(lines[:n])
		lines = lines[n:]
	}
	if s.afterFlush != nil {
		s.afterFlush()
	}
}

// wholeLines returns the length of the leading lines that together fit into maxWriteBytes, or
// of the first line if it alone is longer.
func wholeLines(lines []byte) int {
	if len(lines) <= maxWriteBytes {
		return len(lines)
	}
	if last := bytes.LastIndexByte(lines[:maxWriteBytes], '\n'); last >= 0 {
		return last + 1
	}
	return bytes.IndexByte(lines, '\n') + 1
}
