package runner

import (
	"expvar"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

var silentConns = expvar.NewInt("target_silent_connections")

// dialError marks failures that come before anything was sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return "dial: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// writeError marks failures to send, with the bytes of the request that were sent.
type writeError struct {
	sent int
	err  error
}

func (e *writeError) Error() string { return "write: " + e.err.Error() }
func (e *writeError) Unwrap() error { return e.err }

// deadlineSlack is the part of a progress timeout by which it may end early.
const deadlineSlack = 10

// progressConn fails a read or write that makes no progress in time.
//
// One goroutine uses it at a time, but for Close.
type progressConn struct {
	net.Conn
	firstByte time.Duration
	progress  time.Duration
	silent    func() // called when a read makes no progress

	waiting bool      // a request was written and nothing was read since
	sent    int       // bytes of the request that were written
	limit   time.Time // read deadline that the user of the connection has set
	armed   time.Time // read deadline that is in force
}

func (c *Client) dial(addr string) (net.Conn, error) {
	conn, err := c.Dial(addr)
	if err != nil {
		return nil, &dialError{err: err}
	}
	return &progressConn{
		Conn:      conn,
		firstByte: c.FirstByte,
		progress:  c.Progress,
		silent:    func() { c.retire(addr) },
	}, nil
}

// SetReadDeadline bounds reads besides the progress timeouts.
func (c *progressConn) SetReadDeadline(t time.Time) error {
	c.limit = t
	return nil
}

// Read fails if nothing arrives within the progress timeout.
func (c *progressConn) Read(b []byte) (int, error) {
	timeout := c.progress
	if c.waiting {
		timeout = c.firstByte
	}
	if err := c.arm(time.Now().Add(timeout), timeout/deadlineSlack); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.waiting = false
	}
	if isTimeout(err) {
		c.silent()
	}
	return n, err
}

// arm sets the read deadline, unless the one in force is earlier by no more than the slack.
func (c *progressConn) arm(deadline time.Time, slack time.Duration) error {
	if !c.limit.IsZero() && c.limit.Before(deadline) {
		deadline = c.limit
	}
	if early := deadline.Sub(c.armed); early >= 0 && early < slack {
		return nil
	}
	c.armed = deadline
	return c.Conn.SetReadDeadline(deadline)
}

// Write fails if nothing can be sent within the progress timeout.
func (c *progressConn) Write(b []byte) (int, error) {
	if !c.waiting {
		c.waiting = true
		c.sent = 0
	}
	if err := c.SetWriteDeadline(time.Now().Add(c.progress)); err != nil {
		return 0, &writeError{sent: c.sent, err: err}
	}
	n, err := c.Conn.Write(b)
	c.sent += n
	if err == nil {
		return n, nil
	}
	if isTimeout(err) {
		c.silent()
	}
	return n, &writeError{sent: c.sent, err: err}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
