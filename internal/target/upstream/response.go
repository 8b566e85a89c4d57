package upstream

import (
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/socket"
)

// errReset reports that the target reset the connection within its answer.
var errReset = errors.New("connection was reset before the end of the answer")

// Response is a response of a target whose header has been read and whose body has not. The
// caller must end it with Release or Abort; ending it a second time has no effect.
type Response struct {
	pool          *Pool
	conn          *pooledConn
	resp          *fasthttp.Response
	info          ResponseInfo
	asyncWrite    *asyncWrite  // write of the request; nil if it was complete before the response was read
	stopAfterFunc func() bool  // unregisters the closing of the connection at the end of the context
	ctxErr        func() error // returns the error of the caller's context
	body          io.Reader
	bodyComplete  bool // the body was read to its end
	mismatchSeen  bool // a response to another request came first
	unnamed       bool // the response does not name the request that it answers
}

// Status returns the HTTP status code of the response.
func (r *Response) Status() int { return r.resp.StatusCode() }

// Header returns the header of the response; it is valid until the response is ended.
func (r *Response) Header() *fasthttp.ResponseHeader { return &r.resp.Header }

// HasExplicitEnd reports whether the body has a length or is chunked. Otherwise it ends with the
// connection, also if the target has failed.
func (r *Response) HasExplicitEnd() bool { return r.resp.Header.ContentLength() >= -1 }

// Reused reports whether the connection came from the idle connections of the pool or had
// carried an exchange before.
func (r *Response) Reused() bool { return r.conn.reused }

// ReadBody reads the whole body, of at most limit bytes. It calls reserve with the number of
// bytes before each allocation and fails if reserve returns an error; a nil reserve allows
// every allocation.
func (r *Response) ReadBody(limit int64, reserve func(n int64) error) ([]byte, error) {
	if r.body == nil {
		r.bodyComplete = true
		return nil, nil
	}
	if length := int64(r.resp.Header.ContentLength()); length > limit {
		return nil, fmt.Errorf("read body: %d bytes are more than %d", length, limit)
	}
	b := bodyBuffer{limit: limit, reserve: reserve}
	for {
		free, err := b.free()
		if err != nil {
			return nil, fmt.Errorf("read body: %w", err)
		}
		n, err := r.body.Read(free)
		b.advance(n)
		err = r.checkEnd(err)
		if errors.Is(err, io.EOF) {
			r.bodyComplete = true
			return b.join()
		}
		if err != nil {
			return nil, fmt.Errorf("read body: %w", errors.Join(r.ctxErr(), err))
		}
	}
}

// Read reads the next part of the body.
//
// The error is io.EOF only at the end of a complete body.
func (r *Response) Read(p []byte) (int, error) {
	if r.body == nil {
		r.bodyComplete = true
		return 0, io.EOF
	}
	n, err := r.body.Read(p)
	err = r.checkEnd(err)
	switch {
	case errors.Is(err, io.EOF):
		r.bodyComplete = true
	case err != nil:
		err = errors.Join(r.ctxErr(), err)
	}
	return n, err
}

// checkEnd returns err, or errReset in place of io.EOF if that is a reset, which the system has told the write of the
// request. It tells it only once.
func (r *Response) checkEnd(err error) error {
	if errors.Is(err, io.EOF) && !r.HasExplicitEnd() && !r.requestWritten() && socket.IsReset(r.conn.Conn) {
		return errReset
	}
	return err
}

// SetReadDeadline sets the deadline of the following reads; the zero time removes it.
func (r *Response) SetReadDeadline(t time.Time) error { return r.conn.limitSilence(t, nil) }

// LimitSilence makes the following reads ask giveUp, from t on, whether to stop waiting for a
// target that sends nothing; they fail if it returns true. The zero time removes the limit.
func (r *Response) LimitSilence(t time.Time, giveUp func() bool) error {
	return r.conn.limitSilence(t, giveUp)
}

// Interrupter returns a function that makes the current or the next read ask giveUp of LimitSilence at
// once. It must not be called after the response has been released.
func (r *Response) Interrupter() func() { return r.conn.interrupt }

// Abort ends the response and closes its connection, which makes most targets stop processing
// the request.
func (r *Response) Abort() {
	if r.conn == nil {
		return
	}
	r.stopAfterFunc()
	r.closeConn()
	r.releaseResponse()
}

// closeConn closes the connection and waits for the end of a background write, since the
// caller may reuse the memory of the request's body afterwards.
func (r *Response) closeConn() {
	_ = r.conn.Close()
	if r.asyncWrite != nil {
		<-r.asyncWrite.done
	}
}

// Release ends the response and returns its connection to the pool if it can carry another
// request. It closes the connection otherwise. A short body that was not read is
// discarded first.
func (r *Response) Release() {
	if r.conn == nil {
		return
	}
	if !r.bodyComplete && r.body != nil {
		// The response to a declined request has at most a short body.
		if _, err := r.ReadBody(readBuffer, nil); err != nil {
			r.Abort()
			return
		}
	}
	keepAlive := r.info.KeepAlive
	if conn := r.releaseConn(); conn != nil {
		r.pool.putIdle(conn, keepAlive)
	}
}

// releaseConn ends a response whose body has been read, and returns its connection if it
// can carry another request. That requires that the context has not ended, that no response
// to another request came first, that the response names the request, that the request was
// written completely, that the target keeps the connection open, that the response had an
// explicit end and that no data follows it. Otherwise it closes the connection and returns nil.
func (r *Response) releaseConn() *pooledConn {
	conn := r.conn
	usable := r.stopAfterFunc() && !r.mismatchSeen && !r.unnamed && r.requestWritten() && !r.resp.Header.ConnectionClose() &&
		r.HasExplicitEnd() && conn.br.Buffered() == 0
	if !usable {
		r.closeConn()
		conn = nil
	}
	r.releaseResponse()
	if conn != nil {
		conn.reused = true
	}
	return conn
}

func (r *Response) releaseResponse() {
	r.conn = nil
	_ = r.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(r.resp)
}
