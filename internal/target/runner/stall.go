package runner

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/request/answer"
)

// ErrSilent reports that nothing came on a connection though its target answers on others.
var ErrSilent = errors.New("connection is silent")

// sentConn is a stalled connection on which the request was sent already. It sends nothing, so
// that a request that is written to it only waits for the answer.
type sentConn struct{ *progressConn }

// Write discards the request, which was sent before.
func (c sentConn) Write(b []byte) (int, error) { return len(b), nil }

// LocalAddr returns the local address as a connAddr of a connection that had carried requests
// before.
func (c sentConn) LocalAddr() net.Addr {
	return connAddr{Addr: c.Conn.LocalAddr(), conn: c.progressConn, used: true}
}

// takeStalled returns the connection of a failed request if it has only stalled. The caller must
// close it.
func takeStalled(resp *fasthttp.Response) (sentConn, bool) {
	addr, ok := resp.LocalAddr().(connAddr)
	if !ok || !addr.conn.stalled.Load() {
		return sentConn{}, false
	}
	stalled := addr.conn
	return sentConn{&progressConn{
		Conn:             stalled.Conn,
		firstByteTimeout: stalled.firstByteTimeout,
		progressTimeout:  stalled.progressTimeout,
		onStall:          func() {},
		isEngine:         stalled.isEngine,
		requests:         1,
		awaitingResponse: true,
	}}, true
}

// closeStalled closes the connection of a failed request whose answer is not waited for.
func closeStalled(resp *fasthttp.Response) {
	if conn, ok := takeStalled(resp); ok {
		_ = conn.Close()
	}
}

// begunAnswer is the response to a request for a run, or the error of the request.
type begunAnswer struct {
	resp *fasthttp.Response
	err  error
}

// begin sends a request in the background and returns the channel for its response. One that
// arrives after ended was closed is dropped.
func begin(ended <-chan struct{}, send func(*fasthttp.Response) error) <-chan begunAnswer {
	begun := make(chan begunAnswer)
	go func() {
		resp := fasthttp.AcquireResponse()
		err := send(resp)
		if err != nil {
			releaseResponse(resp)
			resp = nil
		}
		select {
		case begun <- begunAnswer{resp: resp, err: err}:
		case <-ended:
			if resp != nil {
				releaseResponse(resp)
			}
		}
	}()
	return begun
}

// releaseResponse closes the body of a response and releases it.
func releaseResponse(resp *fasthttp.Response) {
	_ = resp.CloseBodyStream()
	fasthttp.ReleaseResponse(resp)
}

// awaitFirst waits for the answer to the completion request that was sent on the stalled
// connection, and at the same time requests the run on a new one. It returns the response that
// begins first, which must be released, and drops the other.
//
// A connection may have stopped responding while it was idle, but its target may also be silent for
// a moment and not know the run yet. The stalled connection is therefore kept until the run is found on the new one.
// If that fails, most often since the target has no such run, it is kept for stallThreshold longer.
//
// The error is an *Error.
func (c *Client) awaitFirst(ctx context.Context, conn sentConn, addr, runID string) (*fasthttp.Response, error) {
	ended := make(chan struct{})
	defer close(ended)
	first := begin(ended, func(resp *fasthttp.Response) error { return c.awaitSent(conn, addr, resp) })
	resumed := begin(ended, func(resp *fasthttp.Response) error { return c.beginResume(addr, runID, 0, resp) })
	var resumeFailed <-chan time.Time
	var lastErr error
	for first != nil || resumed != nil {
		select {
		case a := <-first:
			if a.err == nil {
				return a.resp, nil
			}
			first, lastErr = nil, a.err
		case a := <-resumed:
			if a.err == nil {
				_ = conn.Close()
				return a.resp, nil
			}
			resumed, lastErr = nil, a.err
			resumeFailed = time.After(stallThreshold)
		case <-resumeFailed:
			_ = conn.Close()
			return nil, &Error{RunState: answer.Unknown, Err: fmt.Errorf("%w; on another: %w", ErrSilent, lastErr)}
		case <-ctx.Done():
			_ = conn.Close()
			return nil, &Error{RunState: answer.Unknown, Err: ctx.Err()}
		}
	}
	return nil, &Error{RunState: answer.Unknown, Err: lastErr}
}

// awaitSent reads the header of the response to the completion request that was sent on the
// connection.
func (c *Client) awaitSent(conn sentConn, addr string, resp *fasthttp.Response) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + addr + chat.PathCompletions)
	req.SetConnectionClose()
	client := c.httpClient(addr, conn.isEngine)
	client.Dial = func(string) (net.Conn, error) { return conn, nil }
	return client.Do(req, resp)
}
