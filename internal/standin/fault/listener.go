package fault

import (
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Listener accepts connections that can be made silent.
type Listener struct {
	net.Listener

	mu    sync.Mutex     // guards conns
	conns map[*conn]bool // open connections
}

// Silence makes all connections that are open now silent permanently. Connections
// accepted later are unaffected.
func (l *Listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
}

// Crash closes all open connections and, if the listener is Restartable, refuses others for a time.
func (l *Listener) Crash(downtime time.Duration) {
	if r, ok := l.Listener.(*Restartable); ok {
		r.RefuseFor(downtime)
	}
	l.mu.Lock()
	conns := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// Accept waits for the next connection and registers it for Silence.
func (l *Listener) Accept() (net.Conn, error) {
	netConn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = make(map[*conn]bool)
	}
	c := &conn{Conn: netConn, listener: l}
	l.conns[c] = true
	return c, nil
}

// conn is a connection that discards all data in both directions once silent is set.
type conn struct {
	net.Conn
	listener *Listener
	silent   atomic.Bool
}

// Read reads from the connection. On a silent one it discards the data and returns
// only when the connection fails.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write writes to the connection. On a silent one it discards the data and reports
// success.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection and removes it from the listener.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
