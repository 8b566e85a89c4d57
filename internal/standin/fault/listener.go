package fault

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener accepts connections that can be made silent.
type Listener struct {
	net.Listener

	mu    sync.Mutex // guards conns
	conns map[*conn]bool
}

// Silence makes all connections that are open now silent for good.
func (l *Listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = make(map[*conn]bool)
	}
	c := &conn{Conn: raw, listener: l}
	l.conns[c] = true
	return c, nil
}

// conn loses what is sent and received once it is silent.
type conn struct {
	net.Conn
	listener *Listener
	silent   atomic.Bool
}

// Read drops what arrives on a silent connection.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write drops what is sent on a silent connection.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
