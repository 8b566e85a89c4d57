package callers

import (
	"context"
	"sync"
	"time"

	"rosevalve/internal/request/memory"
)

// shutdownIdleTimeout is how long a connection without a request stays open during a
// shutdown. A caller that gets its answer as the shutdown begins cannot know about it, and
// may send the next request at once.
const shutdownIdleTimeout = 250 * time.Millisecond

// shutdownNewTimeout is the same for a connection that has not carried a request. Its first packet may
// have been lost, and a system sends it again after 200 ms and twice the time to the peer and back.
const shutdownNewTimeout = 750 * time.Millisecond

// connSet holds the open connections of callers.
type connSet struct {
	// holdsBodies, memory, writeStall, bodyRate and onEvicted are those of the server; they do not change.
	holdsBodies bool
	memory      *memory.Budget
	maxConns    func() int
	writeStall  time.Duration
	bodyRate    func() int
	onEvicted   func(r Reason)

	mu         sync.Mutex // guards the fields below
	open       map[*Conn]bool
	shutdownAt time.Time     // when a shutdown began; zero before that
	allClosed  chan struct{} // closed when a shutdown finds no connection open; nil before a shutdown
	byAddress  map[string]*addressBudget

	evicting sync.Mutex // held while requests are chosen that are given up
}

// add registers an accepted connection.
func (s *connSet) add(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[*Conn]bool)
	}
	s.open[c] = true
	s.addBudget(c)
}

// remove deletes a closed connection from the set.
func (s *connSet) remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.open[c] {
		return
	}
	delete(s.open, c)
	s.removeBudget(c)
	s.signalIfEmpty()
}

// signalIfEmpty closes allClosed if a shutdown is in progress and no connection is open. The
// caller holds mu.
func (s *connSet) signalIfEmpty() {
	if !s.shutdownAt.IsZero() && len(s.open) == 0 {
		select {
		case <-s.allClosed:
		default:
			close(s.allClosed)
		}
	}
}

// conns returns the open connections.
func (s *connSet) conns() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*Conn, 0, len(s.open))
	for c := range s.open {
		out = append(out, c)
	}
	return out
}

// endReads ends the reading of requests on all open connections.
func (s *connSet) endReads() {
	for _, c := range s.conns() {
		c.endReads()
	}
}

// endWrites makes writes on all open connections fail that are not complete at deadline.
func (s *connSet) endWrites(deadline time.Time) {
	for _, c := range s.conns() {
		c.endWrites(deadline)
	}
}

// isShuttingDown reports whether shutdown has been called.
func (s *connSet) isShuttingDown() bool { return !s.shutdownBegan().IsZero() }

// shutdownBegan returns when shutdown was first called, or zero.
func (s *connSet) shutdownBegan() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shutdownAt
}

// shutdown closes connections that stay without a request for shutdownIdleTimeout, and
// returns when none is open or ctx ends. No connection may be accepted after the call.
func (s *connSet) shutdown(ctx context.Context) {
	s.mu.Lock()
	if s.shutdownAt.IsZero() {
		s.shutdownAt = time.Now()
		s.allClosed = make(chan struct{})
	}
	s.signalIfEmpty()
	s.mu.Unlock()
	for _, c := range s.conns() {
		c.setShutdownDeadline()
	}
	select {
	case <-s.allClosed:
	case <-ctx.Done():
	}
}
