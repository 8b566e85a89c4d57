package runner

import (
	"expvar"
	"net"
	"sync/atomic"
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

const (
	// deadlineSlack is the part of a progress timeout by which it may end early.
	deadlineSlack = 10
	// suspectAfter is the longest wait that raises no suspicion against a target's connections.
	suspectAfter = time.Second
)

// progressConn fails a read or write that makes no progress in time.
//
// One goroutine uses it at a time, but for Close.
type progressConn struct {
	net.Conn
	firstByte time.Duration
	progress  time.Duration
	silent    func() // called when a read or write makes no progress for a while

	engine *atomic.Bool // the target keeps runs

	requests int       // sent on the connection
	waiting  bool      // a request was written and nothing was read since
	sent     int       // bytes of the request that were written
	limit    time.Time // read deadline that the user of the connection has set
	armed    time.Time // read deadline that is in force
}

func (c *Client) dial(addr string, engine *atomic.Bool) (net.Conn, error) {
	conn, err := c.Dial(addr)
	if err != nil {
		return nil, &dialError{err: err}
	}
	return &progressConn{
		Conn:      conn,
		firstByte: c.FirstByte,
		progress:  c.Progress,
		silent:    func() { c.retire(addr) },
		engine:    engine,
	}, nil
}

// SetReadDeadline bounds reads besides the progress timeouts.
func (c *progressConn) SetReadDeadline(t time.Time) error {
	c.limit = t
	return nil
}

// Read fails if nothing arrives within the progress timeout. A read that takes
// longer than suspectAfter raises suspicion before that, so that new requests
// do not wait on connections that were silenced with this one.
func (c *progressConn) Read(b []byte) (int, error) {
	timeout := c.timeout()
	began := time.Now()
	end := began.Add(timeout)
	if !c.limit.IsZero() && c.limit.Before(end) {
		end = c.limit
	}
	first := min(suspectAfter, timeout)
	if err := c.arm(began.Add(first), end, first/deadlineSlack); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if isTimeout(err) {
		c.silent()
	}
	if isTimeout(err) && time.Now().Before(end) {
		n, err = c.readUntil(b, end)
	}
	if n > 0 {
		c.waiting = false
	}
	return n, err
}

// timeout returns the progress timeout of the next read. A connection that was
// used before may have gone silent since, and a run can be followed on a new one.
func (c *progressConn) timeout() time.Duration {
	switch {
	case !c.waiting:
		return c.progress
	case c.requests > 1 && c.engine.Load():
		return min(c.firstByte, suspectAfter)
	default:
		return c.firstByte
	}
}

// readUntil goes on with a read that has raised suspicion.
func (c *progressConn) readUntil(b []byte, end time.Time) (int, error) {
	c.armed = end
	if err := c.Conn.SetReadDeadline(end); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// arm sets the read deadline, unless the one in force is earlier by no more than the slack.
func (c *progressConn) arm(deadline, end time.Time, slack time.Duration) error {
	if end.Before(deadline) {
		deadline = end
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
		c.requests++
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
