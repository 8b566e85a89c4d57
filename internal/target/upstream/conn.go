package upstream

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// maxGetBody is the maximum size in bytes of a body that Get returns.
const maxGetBody = 256 << 10

// Conn is a connection that is checked out of a pool for one request. The caller must use
// it with Send or put it back with Release.
type Conn struct {
	pool *Pool
	conn *pooledConn // nil after Send or Release, or if Get could not keep it
}

// Usable reports whether a request can be sent on the connection.
func (c *Conn) Usable() bool { return c.conn != nil }

// Release puts an unused connection back into the pool. It does nothing if the
// connection is not usable.
func (c *Conn) Release() {
	if c.conn == nil {
		return
	}
	c.pool.putIdle(c.conn, 0)
	c.conn = nil
}

// Get sends a GET request of the router itself to the instance and returns the status
// code and the body of the response. The connection stays usable if it can carry
// another request; it has then just been shown to work.
func (c *Conn) Get(ctx context.Context, uri string, deadline time.Time) (int, []byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetRequestURI(uri)
	req.Header.SetHost(c.pool.Addr)
	pool := c.pool
	r := c.startExchange(ctx)
	if err := r.writeRequest(req); err != nil {
		r.Abort()
		return 0, nil, err
	}
	if err := r.readHeader(Request{HeaderDeadline: deadline}); err != nil {
		if isTimeout(err) {
			pool.CloseIdle()
		}
		r.Abort()
		return 0, nil, fmt.Errorf("fetch %s: %w", uri, err)
	}
	status := r.Status()
	if err := r.SetReadDeadline(deadline); err != nil {
		r.Abort()
		return 0, nil, fmt.Errorf("fetch %s: set the read deadline: %w", uri, err)
	}
	body, err := r.ReadBody(maxGetBody, nil)
	if err != nil {
		r.Abort()
		return 0, nil, fmt.Errorf("fetch %s: %w", uri, err)
	}
	if err := r.SetReadDeadline(time.Time{}); err != nil {
		r.Abort()
		return 0, nil, fmt.Errorf("fetch %s: clear the read deadline: %w", uri, err)
	}
	c.conn = r.releaseConn()
	return status, body, nil
}
