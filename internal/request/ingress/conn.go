package ingress

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/socket"
)

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// conn is a caller's connection. While a request is served on it, it reads ahead one
// byte to notice that the caller has left.
type conn struct {
	*socket.LingerConn
	limits  func() (header, idle time.Duration)
	callers *callers // of the server

	mu       sync.Mutex // guards the fields below
	active   bool       // a request is being read or served
	watched  chan struct{}
	ahead    [1]byte
	hasAhead bool
	aheadErr error
}

// Read reads within the caller's time. It ends a watch.
func (c *conn) Read(p []byte) (int, error) {
	c.unwatch()
	if taken, n, err := c.takeAhead(p); taken {
		return n, err
	}
	if err := c.boundRead(); err != nil {
		return 0, err
	}
	n, err := c.LingerConn.Read(p)
	if n == 0 && isTimeout(err) && !c.isActive() && c.callers.isStopping() {
		// The server ends it, and the library answers nothing then.
		return 0, net.ErrClosed
	}
	return n, err
}

// boundRead bounds the next read.
func (c *conn) boundRead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit, idle := c.limits()
	if !c.active {
		limit = idle
		if c.callers.isStopping() {
			limit = stopIdle
		}
	}
	var by time.Time
	if limit > 0 {
		by = time.Now().Add(limit)
	}
	return c.SetReadDeadline(by)
}

// boundIdle bounds a read that waits for a request, as the server begins to stop.
func (c *conn) boundIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active {
		return
	}
	// A connection that is closed already has no use for it.
	_ = c.SetReadDeadline(time.Now().Add(stopIdle))
}

// takeAhead returns what the watch has read, if there was one.
func (c *conn) takeAhead(p []byte) (taken bool, n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.hasAhead && len(p) > 0:
		c.hasAhead = false
		p[0] = c.ahead[0]
		return true, 1, nil
	case c.aheadErr != nil:
		return true, 0, c.aheadErr
	default:
		return false, 0, nil
	}
}

func (c *conn) isActive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active
}

func (c *conn) setActive(active bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = active
}

// watch calls gone once if the caller leaves before the next Read.
func (c *conn) watch(gone func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watched != nil || c.hasAhead || c.aheadErr != nil {
		return
	}
	done := make(chan struct{})
	c.watched = done
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		n, err := c.LingerConn.Read(c.ahead[:])
		if n == 0 && isTimeout(err) {
			return
		}
		c.mu.Lock()
		c.hasAhead = n > 0
		if n == 0 {
			c.aheadErr = err
		}
		c.mu.Unlock()
		if n == 0 {
			gone()
		}
	}()
}

// unwatch ends the watch, if there is one.
func (c *conn) unwatch() {
	c.mu.Lock()
	done := c.watched
	c.watched = nil
	c.mu.Unlock()
	if done == nil {
		return
	}
	_ = c.SetReadDeadline(past)
	<-done
	_ = c.SetReadDeadline(time.Time{})
}

// Close ends the watch and closes the connection.
func (c *conn) Close() error {
	c.unwatch()
	c.callers.remove(c)
	return c.LingerConn.Close()
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// onState follows which connections serve a request.
func onState(c net.Conn, state fasthttp.ConnState) {
	if caller, ok := c.(*conn); ok {
		caller.setActive(state == fasthttp.StateActive)
	}
}
