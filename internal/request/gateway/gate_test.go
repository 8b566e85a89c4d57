package gateway

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"
)

// moment is a point of a request at which its target falls silent: once it has read some bytes of
// the request, or once it has sent its answer up to the end of the nth occurrence of a text.
type moment struct {
	requestBytes int
	answerUpTo   string
	n            int
}

// gate can hold up everything that one process reads and writes, as if the process were paused.
// What is sent to it meanwhile waits in the buffers of its connections.
type gate struct {
	mu       sync.Mutex // guards the fields below
	at       *moment    // of the next pause; nil if there is none
	pause    time.Duration
	read     int    // bytes of requests since at was set
	written  []byte // answers since then
	openFrom time.Time

	// machine is set if the whole machine of the process pauses, so that no connection to it opens.
	machine bool
}

// closeAt pauses the process once at the moment.
func (g *gate) closeAt(at moment, pause time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.at, g.pause = &at, pause
	g.read, g.written = 0, nil
}

// closeNow pauses the process.
func (g *gate) closeNow(pause time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.at, g.openFrom = nil, time.Now().Add(pause)
}

// hasClosed reports whether the moment of the pause has come.
func (g *gate) hasClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.at == nil && !g.openFrom.IsZero()
}

// letsDial reports whether connections to the process open. It takes a while to find that they don't.
func (g *gate) letsDial() bool {
	g.mu.Lock()
	holds := g.machine && time.Now().Before(g.openFrom)
	g.mu.Unlock()
	if holds {
		time.Sleep(testDialTimeout)
	}
	return !holds
}

// wait waits until the process is not paused.
func (g *gate) wait() {
	for {
		g.mu.Lock()
		left := time.Until(g.openFrom)
		g.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// waitUntil waits until the process is not paused. It reports false if ctx ends first.
func (g *gate) waitUntil(ctx context.Context) bool {
	g.mu.Lock()
	left := time.Until(g.openFrom)
	g.mu.Unlock()
	if left <= 0 {
		return true
	}
	select {
	case <-time.After(left):
		return true
	case <-ctx.Done():
		return false
	}
}

// readable returns how many of the n bytes the process reads before its pause, and whether it
// pauses then.
func (g *gate) readable(n int) (int, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.at == nil || g.at.requestBytes == 0 || g.read+n < g.at.requestBytes {
		g.read += n
		return n, false
	}
	return g.at.requestBytes - g.read, true
}

// writable returns how many of the bytes the process writes before its pause, and whether it
// pauses then.
func (g *gate) writable(b []byte) (int, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.at == nil || g.at.requestBytes > 0 {
		return len(b), false
	}
	before := len(g.written)
	g.written = append(g.written, b...)
	end := 0
	for range g.at.n {
		i := bytes.Index(g.written[end:], []byte(g.at.answerUpTo))
		if i < 0 {
			return len(b), false
		}
		end += i + len(g.at.answerUpTo)
	}
	return max(end-before, 0), true
}

// gatedConn is a process's end of a connection.
type gatedConn struct {
	net.Conn
	gate    *gate
	arrived chan []byte // closed when the connection ends
	rest    []byte      // of the last bytes taken from arrived
	err     error       // with which the connection ended
}

const maxArrivedReads = 1024 // of one connection that the process has not read yet

func newGatedConn(conn net.Conn, g *gate) *gatedConn {
	c := &gatedConn{Conn: conn, gate: g, arrived: make(chan []byte, maxArrivedReads)}
	go c.receive()
	return c
}

// receive takes in what arrives until the connection ends.
func (c *gatedConn) receive() {
	defer close(c.arrived)
	for {
		b := make([]byte, 4096)
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.arrived <- b[:n]
		}
		if err != nil {
			c.err = err
			return
		}
	}
}

func (c *gatedConn) Read(b []byte) (int, error) {
	if len(c.rest) == 0 {
		next, ok := <-c.arrived
		if !ok {
			return 0, c.err
		}
		c.rest = next
	}
	c.gate.wait()
	n, pauses := c.gate.readable(copy(b, c.rest))
	c.rest = c.rest[n:]
	if pauses {
		c.gate.closeNow(c.gate.pause)
	}
	return n, nil
}

func (c *gatedConn) Write(b []byte) (int, error) {
	c.gate.wait()
	n, pauses := c.gate.writable(b)
	if !pauses {
		return c.Conn.Write(b)
	}
	if n > 0 {
		if m, err := c.Conn.Write(b[:n]); err != nil {
			return m, err
		}
	}
	c.gate.closeNow(c.gate.pause)
	c.gate.wait()
	m, err := c.Conn.Write(b[n:])
	return n + m, err
}
