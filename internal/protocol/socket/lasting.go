package socket

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// spareTime is how long a connection is kept whose caller has given up.
const spareTime = 3 * time.Second

// LastingDialer opens connections to one address. A dial that takes longer than its caller waits goes on, and the next
// caller gets its connection, so that a busy link or processor does not make every dial begin anew.
type LastingDialer struct {
	// dialGoesOn is set while a dial goes on whose caller has given up. There is at most one; others end with their callers.
	dialGoesOn atomic.Bool

	mu    sync.Mutex // guards spare
	spare net.Conn   // a connection whose caller has given up; nil if there is none
}

// dialResult is the end of one dial.
type dialResult struct {
	conn net.Conn
	err  error
}

// Connect returns a connection that dial opens within the timeout and before the end of ctx. Its error is a *net.OpError
// with the operation "dial" if the time is over, else that of dial.
func (d *LastingDialer) Connect(ctx context.Context, timeout time.Duration, dial func(ctx context.Context) (net.Conn, error)) (net.Conn, error) {
	if conn := d.takeSpare(nil); conn != nil {
		if Peek(conn) == Quiet {
			return conn, nil
		}
		_ = conn.Close()
	}
	dialCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	results := make(chan dialResult, 1)
	go func() {
		conn, err := dial(dialCtx)
		results <- dialResult{conn: conn, err: err}
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	cause := os.ErrDeadlineExceeded
	select {
	case out := <-results:
		cancel()
		return out.conn, out.err
	case <-ctx.Done():
		cause = ctx.Err()
	case <-timer.C:
	}
	go d.finish(results, cancel)
	return nil, &net.OpError{Op: "dial", Net: "tcp", Err: cause}
}

// finish waits for a dial whose caller has given up, and keeps its connection for the next caller. Its error tells no
// more than that the caller has given up.
func (d *LastingDialer) finish(results <-chan dialResult, cancel context.CancelFunc) {
	defer cancel()
	if d.dialGoesOn.CompareAndSwap(false, true) {
		defer d.dialGoesOn.Store(false)
	} else {
		cancel()
	}
	if out := <-results; out.err == nil {
		d.keepSpare(out.conn)
	}
}

// keepSpare keeps a connection for the next caller, and closes it if none takes it in time, or if there is one already.
func (d *LastingDialer) keepSpare(conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.spare != nil {
		_ = conn.Close()
		return
	}
	d.spare = conn
	time.AfterFunc(spareTime, func() {
		if d.takeSpare(conn) != nil {
			_ = conn.Close()
		}
	})
}

// takeSpare removes and returns the spare connection, or nil if there is none, or if it is not the wanted one. A nil
// wanted stands for any.
func (d *LastingDialer) takeSpare(wanted net.Conn) net.Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	conn := d.spare
	if wanted != nil && conn != wanted {
		return nil
	}
	d.spare = nil
	return conn
}
