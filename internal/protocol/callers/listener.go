package callers

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/socket"
)

const (
	// handshakeTimeout is how long Close waits for TCP handshakes that have begun.
	handshakeTimeout = 100 * time.Millisecond
	// closeTimeout is how long Close waits for Accept to close the socket. It is reached if
	// nothing calls Accept.
	closeTimeout = 500 * time.Millisecond
	// acceptBackoff is the pause after no connection could be accepted for a reason that passes, and acceptEvictions how many
	// idle connections are closed then.
	acceptBackoff   = 20 * time.Millisecond
	acceptEvictions = 16
)

// listener accepts callers' connections. When it is closed, it first accepts the connections
// that are established, since closing the socket would reset them and lose what they sent.
type listener struct {
	net.Listener
	limits func() (header, idle time.Duration)
	log    fasthttp.Logger
	conns  *connSet
	// dropByFilter and dropByTTL make the socket ignore new handshakes while those that have begun
	// complete. The second is used if the system denies the first.
	dropByFilter, dropByTTL func(l any) error
	// onDenied is called if the system denies dropByFilter or both.
	onDenied func(err error)

	byTTL   atomic.Bool // dropByTTL is in use, which accepted connections inherit
	closing atomic.Bool
	once    sync.Once
	closed  chan struct{} // closed when the socket is closed
	pending []net.Conn    // accepted by closeSocket and not yet returned; used by Accept only
}

// deadlineListener is a listener whose Accept can be interrupted by a deadline.
type deadlineListener interface {
	SetDeadline(t time.Time) error
}

// Accept returns the next caller's connection. After Close it returns those that were
// established before, then net.ErrClosed.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.acceptOne()
	switch {
	case err == nil:
		return l.wrap(raw), nil
	case !l.closing.Load():
		return nil, err
	}
	l.closeSocket()
	if len(l.pending) == 0 {
		return nil, net.ErrClosed
	}
	c := l.pending[0]
	l.pending = l.pending[1:]
	return c, nil
}

// acceptOne accepts a connection for which there is room. While the system lacks descriptors or memory, it closes idle
// connections and tries again.
func (l *listener) acceptOne() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		switch {
		case err == nil && l.conns.makeRoom():
			return raw, nil
		case err == nil:
			l.conns.reportEvicted(TooManyConnections)
			_ = raw.Close()
		case l.closing.Load() || !socket.IsTransient(err):
			return nil, err
		default:
			l.log.Printf("accept: %v", err)
			l.conns.closeIdle(acceptEvictions)
			time.Sleep(acceptBackoff)
		}
	}
}

func (l *listener) wrap(raw net.Conn) net.Conn {
	if l.byTTL.Load() {
		l.acceptAnyTTL(raw)
	}
	c := &Conn{LingerConn: &socket.LingerConn{Conn: raw}, limits: l.limits, conns: l.conns, idleSince: time.Now()}
	c.OnClosed = func() { l.conns.remove(c) }
	l.conns.add(c)
	return c
}

func (l *listener) acceptAnyTTL(raw net.Conn) {
	if err := socket.AcceptAnyTTL(raw); err != nil {
		l.log.Printf("reset the minimum time to live of a connection: %v", err)
	}
}

// closeSocket accepts the established connections and then closes the socket at once. Only
// the first call has an effect.
func (l *listener) closeSocket() {
	l.once.Do(func() {
		defer close(l.closed)
		pending, err := socket.AcceptLast(l.Listener)
		closeErr := l.Listener.Close()
		for _, raw := range pending {
			l.pending = append(l.pending, l.wrap(raw))
		}
		if err != nil {
			l.log.Printf("accept established connections: %v", err)
		}
		if closeErr != nil {
			l.log.Printf("close listener: %v", closeErr)
		}
	})
}

// Close closes the listener and returns when the socket is closed; further calls do nothing.
func (l *listener) Close() error {
	if l.closing.Swap(true) {
		return nil
	}
	deadlineSetter, ok := l.Listener.(deadlineListener)
	if !ok {
		return l.Listener.Close()
	}
	deadline := pastDeadline
	if l.dropHandshakes() {
		deadline = time.Now().Add(handshakeTimeout)
	}
	if err := deadlineSetter.SetDeadline(deadline); err != nil {
		l.log.Printf("set accept deadline: %v", err)
		return l.Listener.Close()
	}
	select {
	case <-l.closed:
		return nil
	case <-time.After(closeTimeout):
		return l.Listener.Close()
	}
}

// dropHandshakes makes the socket ignore new handshakes. If it can't, waiting for those that have
// begun makes no sense, since others follow.
func (l *listener) dropHandshakes() bool {
	filterErr := l.dropByFilter(l.Listener)
	if filterErr == nil {
		return true
	}
	l.byTTL.Store(true) // before a connection can inherit it
	ttlErr := l.dropByTTL(l.Listener)
	l.onDenied(errors.Join(filterErr, ttlErr))
	return ttlErr == nil
}
