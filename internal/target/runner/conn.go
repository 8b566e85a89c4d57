package runner

import (
	"expvar"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/head"
)

var stalledConns = expvar.NewInt("target_silent_connections")

// dialError is a failure to connect: nothing was sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return "dial: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// writeError is a failure to send a request.
type writeError struct {
	sent int // bytes of the request that were sent
	err  error
}

func (e *writeError) Error() string { return "write: " + e.err.Error() }
func (e *writeError) Unwrap() error { return e.err }

// errNotReusable reports that nothing was sent on a connection since it must not be used for
// another request.
var errNotReusable = errors.New("connection is not used again")

const (
	// deadlineSlackDivisor divides a timeout to get the time by which it may end early.
	// The slack saves setting a new deadline for each read.
	deadlineSlackDivisor = 10
	// stallThreshold is the time without progress after which a read counts as stalled,
	// and the idle connections to its target are closed.
	stallThreshold = time.Second
)

// progressConn is a connection whose reads and writes fail if they make no progress within
// a timeout.
//
// Only one goroutine may use it at a time, except for Close.
type progressConn struct {
	net.Conn
	firstByteTimeout time.Duration // for the first byte of a response
	progressTimeout  time.Duration // for each later read and each write
	onStall          func()        // called when a read stalls or a write times out

	isEngine *atomic.Bool // the target is an engine, at which a run can be resumed

	// reusable is set once a response was found to belong to its request. Until then the next
	// request fails before anything is sent: the HTTP library may hand out the connection
	// before the response was looked at.
	reusable atomic.Bool

	// stalled is set once the target of an engine's run has been silent for stallThreshold. Close
	// leaves the connection open then, as takeStalled takes it over.
	stalled atomic.Bool

	requests         int       // requests sent on the connection
	awaitingResponse bool      // a request was written and nothing has been read since
	requestBytes     int       // bytes written of the current request
	callerDeadline   time.Time // read deadline set by SetReadDeadline
	activeDeadline   time.Time // read deadline set on Conn
}

func (c *Client) dial(addr string, isEngine *atomic.Bool) (net.Conn, error) {
	conn, err := c.Dial(addr)
	if err != nil {
		return nil, &dialError{err: err}
	}
	return &progressConn{
		Conn:             &head.Conn{Conn: conn},
		firstByteTimeout: c.FirstByteTimeout,
		progressTimeout:  c.ProgressTimeout,
		onStall:          func() { c.closeIdleAfterStall(addr) },
		isEngine:         isEngine,
	}, nil
}

// connAddr is the local address of a connection, which leads from a response to the connection
// that it was read from: the HTTP library asks for the address before it sends a request, and
// notes it in the response.
type connAddr struct {
	net.Addr
	conn *progressConn
	used bool // the connection had carried a request before this one
}

// LocalAddr returns the local address as a connAddr.
func (c *progressConn) LocalAddr() net.Addr {
	return connAddr{Addr: c.Conn.LocalAddr(), conn: c, used: c.requests > 0}
}

// onUsedConn reports whether the response was read from a connection that had carried a request
// before.
func onUsedConn(resp *fasthttp.Response) bool {
	addr, ok := resp.LocalAddr().(connAddr)
	return ok && addr.used
}

// allowReuse allows one more request on the connection that the response was read from.
func allowReuse(resp *fasthttp.Response) {
	if addr, ok := resp.LocalAddr().(connAddr); ok {
		addr.conn.reusable.Store(true)
	}
}

// forbidReuse ends the connection that the response was read from. The HTTP library closes it
// after a body, but keeps it as idle from before the return of a response without one.
func forbidReuse(resp *fasthttp.Response) {
	resp.SetConnectionClose()
	if addr, ok := resp.LocalAddr().(connAddr); ok && resp.BodyStream() == nil {
		_ = addr.conn.Close()
	}
}

// SetReadDeadline sets a deadline that bounds reads in addition to the timeouts.
func (c *progressConn) SetReadDeadline(t time.Time) error {
	c.callerDeadline = t
	return nil
}

// Read fails if nothing arrives within the timeout of the read. If nothing arrives
// within stallThreshold, it calls onStall and continues, so that new requests do not
// wait on idle connections that stopped responding together with this one.
func (c *progressConn) Read(b []byte) (int, error) {
	timeout := c.timeout()
	start := time.Now()
	deadline := start.Add(timeout)
	if !c.callerDeadline.IsZero() && c.callerDeadline.Before(deadline) {
		deadline = c.callerDeadline
	}
	stall := min(stallThreshold, timeout)
	if err := c.setDeadline(start.Add(stall), deadline, stall/deadlineSlackDivisor); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if isTimeout(err) {
		c.onStall()
	}
	if isTimeout(err) && time.Now().Before(deadline) {
		n, err = c.resumeRead(b, deadline)
	}
	if isTimeout(err) && c.awaitingResponse && timeout < c.firstByteTimeout {
		c.stalled.Store(true)
	}
	if n > 0 {
		c.awaitingResponse = false
	}
	return n, err
}

// Close closes the connection, unless it has stalled before an answer.
func (c *progressConn) Close() error {
	if c.stalled.Load() {
		return nil
	}
	return c.Conn.Close()
}

// timeout returns the timeout of the next read. The first read after a request on a
// reused connection to an engine has a short one, since the connection may have stopped
// responding while it was idle and the run can be resumed on a new connection.
func (c *progressConn) timeout() time.Duration {
	switch {
	case !c.awaitingResponse:
		return c.progressTimeout
	case c.requests > 1 && c.isEngine.Load():
		return min(c.firstByteTimeout, stallThreshold)
	default:
		return c.firstByteTimeout
	}
}

// resumeRead continues a stalled read until deadline.
func (c *progressConn) resumeRead(b []byte, deadline time.Time) (int, error) {
	c.activeDeadline = deadline
	if err := c.Conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// setDeadline sets the read deadline to the earlier of deadline and limit. It keeps the
// active deadline if that is earlier than the new one by less than slack.
func (c *progressConn) setDeadline(deadline, limit time.Time, slack time.Duration) error {
	if limit.Before(deadline) {
		deadline = limit
	}
	if early := deadline.Sub(c.activeDeadline); early >= 0 && early < slack {
		return nil
	}
	c.activeDeadline = deadline
	return c.Conn.SetReadDeadline(deadline)
}

// Write fails if it does not complete within the progress timeout, and with errNotReusable
// if the connection must not be used for another request.
func (c *progressConn) Write(b []byte) (int, error) {
	if !c.awaitingResponse {
		if c.requests > 0 && !c.reusable.Swap(false) {
			return 0, &writeError{err: errNotReusable}
		}
		c.awaitingResponse = true
		c.requestBytes = 0
		c.requests++
	}
	if err := c.SetWriteDeadline(time.Now().Add(c.progressTimeout)); err != nil {
		return 0, &writeError{sent: c.requestBytes, err: err}
	}
	n, err := c.Conn.Write(b)
	c.requestBytes += n
	if err == nil {
		return n, nil
	}
	if isTimeout(err) {
		c.onStall()
	}
	return n, &writeError{sent: c.requestBytes, err: err}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
