package socket

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// lingerTime and lingerBytes bound what is read of a request that was refused
	// before its end, so that the refusal is not lost in a reset.
	lingerTime  = time.Second
	lingerBytes = 8 << 20
)

// errNoSocket reports that a connection has no socket of the operating system.
var errNoSocket = errors.New("connection has no socket")

// LingerListener accepts connections that can linger.
type LingerListener struct {
	net.Listener
}

// Accept returns the next connection, which is a *LingerConn.
func (l LingerListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &LingerConn{Conn: raw}, nil
}

// LingerConn is a connection that can be closed so that the other end gets what was
// written, though it is still sending.
type LingerConn struct {
	net.Conn
	linger atomic.Bool
}

// LingerOnClose makes the next Close read what the other end still sends, for a bounded time.
func (c *LingerConn) LingerOnClose() { c.linger.Store(true) }

// Close closes the connection, in the background if it lingers.
func (c *LingerConn) Close() error {
	if !c.linger.Swap(false) {
		return c.Conn.Close()
	}
	go c.drain()
	return nil
}

// drain reads what the other end still sends, for a bounded time, and closes.
func (c *LingerConn) drain() {
	defer func() { _ = c.Conn.Close() }()
	if half, ok := c.Conn.(*net.TCPConn); ok {
		// An error shows in the reads that follow.
		_ = half.CloseWrite()
	}
	if err := c.SetReadDeadline(time.Now().Add(lingerTime)); err != nil {
		return
	}
	// What is read is of no use, and neither is the cause of its end.
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, lingerBytes))
}

// SyscallConn returns the connection's socket.
func (c *LingerConn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	return socket.SyscallConn()
}
