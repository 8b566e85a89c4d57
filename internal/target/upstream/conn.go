package upstream

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// maxFetchBody is the maximum size in bytes of a body that Fetch returns.
const maxFetchBody = 256 << 10

// Conn is a connection that is checked out of a pool for one request. The caller must use
// it with Send or put it back with Return.
type Conn struct {
	pool *Pool
	conn *pooledConn // nil after Send or Return, or if Fetch could not keep it
}

// Usable reports whether the line has a connection on which a request can be sent.
func (l *Conn) Usable() bool { return l.conn != nil }

// Release puts the connection of an unused line back into the pool. It does nothing if the
// line is not open.
func (l *Conn) Release() {
	if l.conn == nil {
		return
	}
	l.pool.putIdle(l.conn, 0)
	l.conn = nil
}

// Get sends a GET request of the router itself to the instance and returns the status
// code and the body of the response. The line stays open if its connection can carry
// another request; the connection has then just been shown to work.
func (l *Conn) Get(ctx context.Context, uri string, deadline time.Time) (int, []byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetRequestURI(uri)
	req.Header.SetHost(l.pool.Addr)
	pool := l.pool
	a := l.startExchange(ctx)
	if err := a.writeRequest(req); err != nil {
		a.Abort()
		return 0, nil, err
	}
	if err := a.readHeader(Request{HeaderDeadline: deadline}); err != nil {
		if isTimeout(err) {
			pool.CloseIdle()
		}
		a.Abort()
		return 0, nil, fmt.Errorf("fetch %s: %w", uri, err)
	}
	status := a.Status()
	if err := a.SetReadDeadline(deadline); err != nil {
		a.Abort()
		return 0, nil, fmt.Errorf("fetch %s: set the read deadline: %w", uri, err)
	}
	body, err := a.ReadBody(maxFetchBody, nil)
	if err != nil {
		a.Abort()
		return 0, nil, fmt.Errorf("fetch %s: %w", uri, err)
	}
	if err := a.SetReadDeadline(time.Time{}); err != nil {
		a.Abort()
		return 0, nil, fmt.Errorf("fetch %s: clear the read deadline: %w", uri, err)
	}
	l.conn = a.releaseConn()
	return status, body, nil
}
