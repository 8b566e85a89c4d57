package socket

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// acceptBackoff is the pause after no connection could be accepted for a reason that passes.
const acceptBackoff = 20 * time.Millisecond

// BoundedListener accepts a bounded number of connections: beyond it, the one that has been without traffic for longest is
// closed. Errors of Accept that pass do not end it.
type BoundedListener struct {
	net.Listener
	// MaxConns bounds the open connections.
	MaxConns int
	// OnClosed is called when a connection is closed for another one, and OnError with each error that passes; they must not
	// block.
	OnClosed func()
	OnError  func(err error)

	mu   sync.Mutex // guards open
	open map[*boundedConn]bool
}

// Accept returns the next connection.
func (l *BoundedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		switch {
		case err == nil:
			return l.add(raw), nil
		case !IsTransient(err):
			return nil, fmt.Errorf("accept: %w", err)
		}
		l.OnError(err)
		l.closeOldest()
		time.Sleep(acceptBackoff)
	}
}

// add registers a connection and closes another one if there are too many.
func (l *BoundedListener) add(raw net.Conn) net.Conn {
	c := &boundedConn{Conn: raw, listener: l}
	c.used.Store(time.Now().UnixNano())
	for l.Open() >= l.MaxConns {
		if !l.closeOldest() {
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = make(map[*boundedConn]bool)
	}
	l.open[c] = true
	return c
}

// Open returns the number of open connections.
func (l *BoundedListener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// closeOldest closes the connection that has been without traffic for longest, and reports whether there is one.
func (l *BoundedListener) closeOldest() bool {
	var oldest *boundedConn
	l.mu.Lock()
	for c := range l.open {
		if oldest == nil || c.used.Load() < oldest.used.Load() {
			oldest = c
		}
	}
	l.mu.Unlock()
	if oldest == nil {
		return false
	}
	_ = oldest.Close()
	l.OnClosed()
	return true
}

// boundedConn is a connection that a BoundedListener has accepted.
type boundedConn struct {
	net.Conn
	listener *BoundedListener
	used     atomic.Int64 // when bytes were last read or written, in Unix nanoseconds
}

func (c *boundedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.used.Store(time.Now().UnixNano())
	return n, err
}

func (c *boundedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.used.Store(time.Now().UnixNano())
	return n, err
}

// Close closes the connection; further calls do nothing to its listener.
func (c *boundedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// SyscallConn returns the raw connection for access to the socket.
func (c *boundedConn) SyscallConn() (syscall.RawConn, error) {
	return rawConn(c.Conn)
}
