package ingress

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/socket"
)

const (
	// handshakeTime is how long a handshake that has begun may take as the listener closes.
	handshakeTime = 100 * time.Millisecond
	// closeTime bounds the closing of a listener that nothing accepts from.
	closeTime = 500 * time.Millisecond
)

// listener accepts callers' connections. Closing it first accepts those that are
// established, since they would be reset with whatever they have sent.
type listener struct {
	net.Listener
	limits  func() (header, idle time.Duration)
	log     fasthttp.Logger
	callers *callers

	closing atomic.Bool
	once    sync.Once
	closed  chan struct{} // closed when the socket is
	rest    []net.Conn    // accepted as the listener closed; the one that accepts uses it
}

// deadliner is a listener whose Accept can be ended.
type deadliner interface {
	SetDeadline(t time.Time) error
}

// Accept returns the next caller's connection.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	switch {
	case err == nil:
		return l.wrap(raw), nil
	case !l.closing.Load():
		return nil, err
	}
	l.end()
	if len(l.rest) == 0 {
		return nil, net.ErrClosed
	}
	c := l.rest[0]
	l.rest = l.rest[1:]
	return c, nil
}

func (l *listener) wrap(raw net.Conn) net.Conn {
	c := &conn{LingerConn: &socket.LingerConn{Conn: raw}, limits: l.limits, callers: l.callers}
	l.callers.add(c)
	return c
}

// end accepts what is established and closes the socket right behind it, once.
func (l *listener) end() {
	l.once.Do(func() {
		defer close(l.closed)
		rest, err := socket.AcceptRest(l.Listener)
		closeErr := l.Listener.Close()
		for _, raw := range rest {
			l.rest = append(l.rest, l.wrap(raw))
		}
		if err != nil {
			l.log.Printf("accept what is established: %v", err)
		}
		if closeErr != nil {
			l.log.Printf("close listener: %v", closeErr)
		}
	})
}

// Close closes the listener; further calls do nothing.
func (l *listener) Close() error {
	if l.closing.Swap(true) {
		return nil
	}
	bounded, ok := l.Listener.(deadliner)
	if !ok {
		return l.Listener.Close()
	}
	last := time.Now().Add(handshakeTime)
	if err := socket.DropHandshakes(l.Listener); err != nil {
		// A handshake that ends as the socket closes is reset.
		l.log.Printf("take no new connections: %v", err)
		last = past
	}
	if err := bounded.SetDeadline(last); err != nil {
		l.log.Printf("end the wait for connections: %v", err)
		return l.Listener.Close()
	}
	select {
	case <-l.closed:
		return nil
	case <-time.After(closeTime):
		return l.Listener.Close()
	}
}
