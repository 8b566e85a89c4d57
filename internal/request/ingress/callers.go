package ingress

import (
	"context"
	"sync"
	"time"
)

// stopIdle is how long a connection stays open in a stop without a request. Who gets an
// answer while the stop begins does not know of it, and sends the next request at once.
const stopIdle = 250 * time.Millisecond

// callers are the open connections of callers.
type callers struct {
	mu       sync.Mutex // guards the fields below
	open     map[*conn]bool
	stopping bool
	none     chan struct{} // closed once none is open in a stop; nil before
}

// add takes in a connection that was accepted.
func (s *callers) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[*conn]bool)
	}
	s.open[c] = true
}

// remove forgets a connection that is closed.
func (s *callers) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.open[c] {
		return
	}
	delete(s.open, c)
	s.tellNone()
}

// tellNone tells who waits when the last one is closed. The caller holds mu.
func (s *callers) tellNone() {
	if s.stopping && len(s.open) == 0 {
		select {
		case <-s.none:
		default:
			close(s.none)
		}
	}
}

// isStopping reports whether connections without a request are to be closed soon.
func (s *callers) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// stop bounds how long connections stay open without a request, and returns when none is
// open any more or ctx ends. None is accepted after it has begun.
func (s *callers) stop(ctx context.Context) {
	s.mu.Lock()
	if !s.stopping {
		s.stopping = true
		s.none = make(chan struct{})
	}
	s.tellNone()
	idle := make([]*conn, 0, len(s.open))
	for c := range s.open {
		idle = append(idle, c)
	}
	s.mu.Unlock()
	for _, c := range idle {
		c.boundIdle()
	}
	select {
	case <-s.none:
	case <-ctx.Done():
	}
}
