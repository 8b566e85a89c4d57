package socket

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// Counter counts open connections.
type Counter struct{ open atomic.Int64 }

// Open returns the number of open connections.
func (c *Counter) Open() int { return int(c.open.Load()) }

// Count returns a connection that counts as open until it is closed.
func (c *Counter) Count(conn net.Conn) net.Conn {
	c.open.Add(1)
	return &countedConn{Conn: conn, counter: c}
}

// countedConn is a connection that counts as open.
type countedConn struct {
	net.Conn
	counter *Counter
	closed  sync.Once
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.closed.Do(func() { c.counter.open.Add(-1) })
	return c.Conn.Close()
}

// SyscallConn returns the raw connection for access to the socket.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) {
	return rawConn(c.Conn)
}
