package upstream

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// maxReport bounds the body of an answer to a question of the router's own.
const maxReport = 256 << 10

// Line is a connection on which one request may be sent. One that is not used must be
// given back.
type Line struct {
	pool *Pool
	conn *conn // nil once it is used up
}

// Open reports whether a request can be sent on the line.
func (l *Line) Open() bool { return l.conn != nil }

// Return gives back a line that is not used.
func (l *Line) Return() {
	if l.conn == nil {
		return
	}
	l.pool.give(l.conn, 0)
	l.conn = nil
}

// Fetch asks the instance a question of the router's own and returns the status and the
// body. If both ends agree on where the connection stands, the line can be used again,
// and is known to be alive.
func (l *Line) Fetch(ctx context.Context, uri string, by time.Time) (int, []byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetRequestURI(uri)
	req.Header.SetHost(l.pool.Addr)
	pool := l.pool
	a := l.begin(ctx)
	if err := a.write(req); err != nil {
		a.Drop()
		return 0, nil, err
	}
	if err := a.readHead(Call{HeadBy: by}); err != nil {
		if isTimeout(err) {
			pool.Distrust()
		}
		a.Drop()
		return 0, nil, fmt.Errorf("ask %s: %w", uri, err)
	}
	status := a.Status()
	if err := a.SetReadDeadline(by); err != nil {
		a.Drop()
		return 0, nil, fmt.Errorf("ask %s: bound the wait for an answer: %w", uri, err)
	}
	body, err := a.Body(maxReport, nil)
	if err != nil {
		a.Drop()
		return 0, nil, fmt.Errorf("ask %s: %w", uri, err)
	}
	if err := a.SetReadDeadline(time.Time{}); err != nil {
		a.Drop()
		return 0, nil, fmt.Errorf("ask %s: lift the bound of the wait: %w", uri, err)
	}
	l.conn = a.detach()
	return status, body, nil
}
