package callers

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/socket"
	"rosevalve/internal/request/memory"
)

// pastDeadline is a read deadline that interrupts a read at once.
var pastDeadline = time.Unix(1, 0)

// Conn is a caller's connection. While a request is served on it, it reads one byte ahead
// to detect that the caller disconnects.
type Conn struct {
	*socket.LingerConn
	limits func() (header, idle time.Duration)
	conns  *connSet // all connections of the server

	mu        sync.Mutex    // guards the fields below
	active    bool          // a request is being read or served
	used      bool          // a request has begun to arrive
	arrival   arrival       // of the request that is being read or served
	closing   bool          // Close was called, which may still deliver an answer
	timedOut  bool          // a read has passed its deadline
	readsOver bool          // a cut-off has ended the reading of requests
	watchDone chan struct{} // closed when the goroutine of watch has ended; nil without one
	ahead     [1]byte
	hasAhead  bool
	aheadErr  error
	writeEnd  time.Time // when all writes end; zero before a cut-off
	idleSince time.Time // when it was accepted, its last request ended, or it was closed
	lastRead  time.Time // when a part of a request was read last
	keyless   bool      // its request has no valid key
	served    bool      // its request was read completely
	evicted   bool      // its request is given up, since memory or descriptors are short
	unread    unread    // what EndUnread has seen of the answer

	memory memory.Reservation // of the request that is being read or served
	held   []byte             // read beyond the header of a request; used by the reader only
	// writeRenewed is when the deadline of writes was set last; used by the writer only.
	writeRenewed time.Time
	writing      atomic.Int64 // when the write in progress began, in Unix nanoseconds; 0 without one
	stalledQueue int          // what was not acknowledged when a write ran into its deadline; used by the writer only
	endedUnread  atomic.Bool  // the answer ends since its caller does not read it
}

// Read stops a watch and reads with the idle timeout between requests. The header timeout counts from
// the first byte of a request; the body may pause for as long, or for bodyPause. Bytes that were read ahead come first.
// If the connection holds bodies, it returns nothing beyond a header, which ReadBody does.
func (c *Conn) Read(p []byte) (int, error) {
	if c.conns.holdsBodies && c.headerDone() {
		return 0, errBrokenHeader
	}
	n, err := c.read(p)
	header := c.observe(p[:n])
	if c.conns.holdsBodies && header < n {
		c.hold(p[header:n])
		n = header
	}
	if memoryErr := c.reserveHeader(); memoryErr != nil {
		return 0, memoryErr
	}
	return n, err
}

// errBrokenHeader reports that the HTTP library expects more of a header that has ended, since its lines end in different
// ways. What follows is the body, or the next request.
var errBrokenHeader = errors.New("lines of the header end in different ways")

// headerDone reports whether the header of the request that is being read has ended.
func (c *Conn) headerDone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active && c.arrival.headerDone
}

// observe follows the request of which p was read, and returns how much of p belongs to its header.
func (c *Conn) observe(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(p) > 0 {
		c.lastRead = time.Now()
	}
	if !c.active && len(p) > 0 {
		c.arrival = arrival{began: c.lastRead, followed: true}
	}
	return c.arrival.observe(p)
}

func (c *Conn) read(p []byte) (int, error) {
	c.unwatch()
	if n := c.takeHeld(p); n > 0 {
		return n, nil
	}
	if ok, n, err := c.takeAhead(p); ok {
		return n, err
	}
	if err := c.setTimeout(); err != nil {
		return 0, err
	}
	n, err := c.LingerConn.Read(p)
	if n > 0 || !IsTimeout(err) {
		return n, err
	}
	if c.isEvicted() {
		return 0, errEvicted
	}
	c.setTimedOut()
	if !c.isActive() && c.conns.isShuttingDown() {
		// The shutdown closes this connection; on ErrClosed the HTTP library writes no answer.
		return 0, net.ErrClosed
	}
	return n, err
}

// setTimeout sets the deadline of the next read.
func (c *Conn) setTimeout() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.SetReadDeadline(c.readDeadline())
}

// readDeadline returns the deadline of the next read, or zero for none. The caller holds mu.
func (c *Conn) readDeadline() time.Time {
	header, idle := c.limits()
	shutdown := c.conns.shutdownBegan()
	switch {
	case c.evicted, c.active && c.readsOver:
		return pastDeadline
	case c.active && header > 0:
		return c.bodyDeadline(c.arrival.deadline(header, shutdown), header)
	case !c.active && !shutdown.IsZero():
		return time.Now().Add(c.shutdownLimit())
	case !c.active && idle > 0:
		return time.Now().Add(idle)
	default:
		return time.Time{}
	}
}

// setShutdownDeadline limits a read that waits for a request when a shutdown begins.
func (c *Conn) setShutdownDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active || c.closing {
		return
	}
	// The error of a connection that is closed already does not matter.
	_ = c.SetReadDeadline(time.Now().Add(c.shutdownLimit()))
}

// shutdownLimit returns how long a shutdown waits for a request. The caller holds mu.
func (c *Conn) shutdownLimit() time.Duration {
	if !c.used {
		return shutdownNewTimeout
	}
	return shutdownIdleTimeout
}

// endReads ends the reading of a request that is still arriving, which is refused like one that takes too long.
func (c *Conn) endReads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readsOver = true
	if c.active && !c.closing && c.watchDone == nil {
		// The error of a connection that is closed already does not matter.
		_ = c.SetReadDeadline(pastDeadline)
	}
}

// endWrites makes writes fail that are not complete at deadline, which no longer can be put off.
func (c *Conn) endWrites(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeEnd = deadline
	// The error of a connection that is closed already does not matter.
	_ = c.LingerConn.SetWriteDeadline(deadline)
}

// SetWriteDeadline sets the deadline of writes; a cut-off overrules later ones.
func (c *Conn) SetWriteDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writeEnd.IsZero() && (deadline.IsZero() || deadline.After(c.writeEnd)) {
		deadline = c.writeEnd
	}
	return c.LingerConn.SetWriteDeadline(deadline)
}

// takeAhead returns the byte or the error that the watch has read; ok is false if there is
// neither.
func (c *Conn) takeAhead(p []byte) (ok bool, n int, err error) {
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

func (c *Conn) isActive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active
}

func (c *Conn) setTimedOut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timedOut = true
}

// ReadError returns the error err of the HTTP library as a timeout if the request took too long to arrive. The library
// drops the cause in some places of a chunked body.
func (c *Conn) ReadError(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.timedOut || IsTimeout(err) {
		return err
	}
	return fmt.Errorf("%w: %w", os.ErrDeadlineExceeded, err)
}

func (c *Conn) setActive(active bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = active
	c.used = c.used || active
	switch {
	case !active:
		c.arrival = arrival{}
		c.idleSince, c.keyless, c.served = time.Now(), false, false
		c.memory.Release()
	case c.arrival.began.IsZero():
		// Its first byte was read together with the request before.
		c.arrival.began = time.Now()
	}
}

// Watch calls onDisconnect once if the caller disconnects before the next Read.
func (c *Conn) Watch(onDisconnect func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watchDone != nil || c.hasAhead || c.aheadErr != nil {
		return
	}
	done := make(chan struct{})
	c.watchDone = done
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		n, err := c.LingerConn.Read(c.ahead[:])
		if n == 0 && IsTimeout(err) {
			return
		}
		c.mu.Lock()
		c.hasAhead = n > 0
		if n == 0 {
			c.aheadErr = err
		}
		c.mu.Unlock()
		if n == 0 {
			onDisconnect()
		}
	}()
}

// unwatch stops the watch, if there is one, and waits for its end.
func (c *Conn) unwatch() {
	c.mu.Lock()
	done := c.watchDone
	c.watchDone = nil
	c.mu.Unlock()
	if done == nil {
		return
	}
	_ = c.SetReadDeadline(pastDeadline)
	<-done
	_ = c.SetReadDeadline(time.Time{})
}

// Close stops the watch and closes the connection. After an answer it does so in the background: what
// the caller still sends would otherwise make the system reset the connection and drop the rest of
// the answer.
func (c *Conn) Close() error {
	c.unwatch()
	if c.setClosing() {
		c.LingerAtEnd()
	}
	c.memory.Release()
	return c.LingerConn.Close()
}

// setClosing ends the influence of a shutdown on the time that closing takes. It reports whether an
// answer may be on its way.
func (c *Conn) setClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.idleSince = time.Now()
	return c.active && c.aheadErr == nil
}

// IsTimeout reports whether an error is that of a read or write past its deadline.
func IsTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// onState records whether a request is being read or served on the connection.
func onState(c net.Conn, state fasthttp.ConnState) {
	if callerConn, ok := c.(*Conn); ok {
		callerConn.setActive(state == fasthttp.StateActive)
	}
}
