package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/socket"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/runner"
)

const (
	// asyncWriteThreshold is the size in bytes above which a request is written in the
	// background while its response is read, since a target may respond before it has
	// read the whole request.
	asyncWriteThreshold = 4096
	// maxResponsesRead is the number of responses that are read in search of the one
	// that matches the request.
	maxResponsesRead = 4
	// maxSkippedBody is the number of bytes that are read of the body of a skipped
	// response.
	maxSkippedBody = 1 << 20
)

// ErrSuperseded is the cause with which a context ends whose request needs no response any longer, since
// another one has been answered. It shows nothing about the target.
var ErrSuperseded = errors.New("another attempt has answered")

// errMismatched reports that the target sent only responses to other requests.
var errMismatched = errors.New("answers belong to other requests")

// errReset reports that the target reset the connection within its answer.
var errReset = errors.New("connection was reset before the end of the answer")

// Request is a request to send to the target.
type Request struct {
	// AttemptID is the id of the attempt; a response that carries another id, or none on a
	// reused connection, is skipped.
	AttemptID string
	// Once is set if the request must run at most once. A refusal is believed only if it names the request then.
	Once bool
	// Request is the HTTP request; its body must not change before the Response has ended.
	Request *fasthttp.Request
	// HeaderDeadline is the deadline for the header of the response; if it is zero, only the
	// context bounds the wait.
	HeaderDeadline time.Time
}

// ResponseInfo is the information in the header of a response that the exchange depends on.
type ResponseInfo struct {
	// AttemptID is the id of the attempt that the response belongs to, or empty if the
	// header has none.
	AttemptID string
	// NotRun is set if the target did not run the request and never will.
	NotRun bool
	// KeepAlive is the time for which the target keeps the connection open while it is idle,
	// or 0 if the header does not state it.
	KeepAlive time.Duration
	// Notice is the target's instruction to its callers.
	Notice Notice
}

// Notice is a target's instruction to its callers; the zero value is none.
type Notice struct {
	// Leaving is set if the target shuts down soon and accepts no new requests.
	Leaving bool
	// PauseFor is the time during which this router must not send anything to the target.
	PauseFor time.Duration
	// TellsCold is set if the target says whether it is cold, and ColdFor is for how long; 0 if it is not.
	TellsCold bool
	ColdFor   time.Duration
}

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

// asyncWrite is a request that is written in the background while its response is read, or whose write has failed.
type asyncWrite struct {
	done chan struct{} // closed when the write has ended
	n    int64         // number of bytes written; valid once done is closed
	err  error         // valid once done is closed
}

// Send sends the request and returns once the header of its response has been read. The
// end of ctx closes the connection, which also fails later reads of the body. The Conn
// can't be used again.
//
// The error is a *runner.Error.
func (c *Conn) Send(ctx context.Context, req Request) (*Response, error) {
	r := c.startExchange(ctx)
	if err := r.writeRequest(req.Request); err != nil {
		r.Abort()
		return nil, err
	}
	if err := r.readHeader(req); err != nil {
		if r.conn.reused && isTimeout(err) || ctx.Err() != nil && !errors.Is(context.Cause(ctx), ErrSuperseded) {
			r.pool.CloseIdle()
		}
		r.Abort()
		return nil, &runner.Error{RunState: r.runState(), Err: errors.Join(err, ctx.Err())}
	}
	if r.info.NotRun {
		err := &runner.Error{RunState: answer.NotRun, Status: r.Status(), Err: fmt.Errorf("target answered %d without running the request", r.Status())}
		r.Release()
		return nil, err
	}
	return r, nil
}

// writeRequest writes the request. A large one is written in the background, which may
// last until the response is ended.
func (r *Response) writeRequest(req *fasthttp.Request) error {
	body := req.Body()
	if len(body) > 0 || !req.Header.IsGet() && !req.Header.IsHead() {
		req.Header.SetContentLength(len(body))
	}
	head := req.Header.Header()
	buffers := net.Buffers{append([]byte(nil), head...), body}
	write := &asyncWrite{done: make(chan struct{})}
	if len(head)+len(body) > asyncWriteThreshold {
		r.asyncWrite = write
		go write.run(r.conn.Conn, buffers)
		return nil
	}
	write.run(r.conn.Conn, buffers)
	switch {
	case write.err == nil:
	case write.n == 0:
		return &runner.Error{RunState: answer.NotRun, Err: fmt.Errorf("write request: %w", write.err)}
	default:
		// The target may have answered the part that it has got.
		r.asyncWrite = write
	}
	return nil
}

func (w *asyncWrite) run(conn net.Conn, buffers net.Buffers) {
	defer close(w.done)
	w.n, w.err = buffers.WriteTo(conn)
}

// runState returns what is known of a request without an answer, once its write has ended.
func (r *Response) runState() answer.RunState {
	if r.asyncWrite != nil && r.asyncWrite.n == 0 {
		return answer.NotRun
	}
	return answer.Unknown
}

// readHeader reads the header of the response that matches the request and skips
// responses to other requests before it.
func (r *Response) readHeader(req Request) error {
	if err := r.conn.limitSilence(req.HeaderDeadline, nil); err != nil {
		return fmt.Errorf("bound the wait for an answer: %w", err)
	}
	defer func() { _ = r.conn.limitSilence(time.Time{}, nil) }()
	r.resp.StreamBody = true
	for range maxResponsesRead {
		if err := r.conn.expectHead(); err != nil {
			return fmt.Errorf("read answer: %w", err)
		}
		if err := r.resp.ReadLimitBody(r.conn.br, 0); err != nil {
			return fmt.Errorf("read answer: %w", err)
		}
		r.body = r.resp.BodyStream()
		r.info = r.pool.ParseHeader(&r.resp.Header)
		matches := r.matches(req)
		r.pool.heedNotice(r.info.Notice, matches)
		if matches {
			r.unnamed = r.info.AttemptID != req.AttemptID
			return nil
		}
		r.mismatchSeen = true
		if err := r.skipBody(); err != nil {
			return err
		}
	}
	return errMismatched
}

// matches reports whether the response belongs to the request. One that names no request does
// so only on a connection that has carried nothing before: on others it may be a late copy of
// an earlier response, and proves nothing about this request. A refusal that names no request never proves that
// one which must run at most once has not run.
func (r *Response) matches(req Request) bool {
	if r.info.AttemptID != "" || req.AttemptID == "" {
		return r.info.AttemptID == req.AttemptID
	}
	unproven := r.conn.reused || req.Once && r.info.NotRun
	return !unproven
}

// skipBody discards the body of a response to another request, so that the next response
// can be read.
func (r *Response) skipBody() error {
	mismatchedResponses.Add(1)
	if r.resp.Header.ContentLength() < -1 {
		return fmt.Errorf("%w, one without a length", errMismatched)
	}
	if r.body == nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r.body, maxSkippedBody)); err != nil {
		return fmt.Errorf("skip an answer to another request: %w", err)
	}
	err := r.resp.CloseBodyStream()
	r.resp.Reset()
	r.resp.StreamBody = true
	return err
}

// startExchange moves the connection to a new exchange, which the end of ctx
// closes.
func (c *Conn) startExchange(ctx context.Context) *Response {
	conn := c.conn
	c.conn = nil
	return &Response{
		pool:          c.pool,
		conn:          conn,
		resp:          fasthttp.AcquireResponse(),
		stopAfterFunc: context.AfterFunc(ctx, func() { _ = conn.Close() }),
		ctxErr:        ctx.Err,
	}
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

// requestWritten reports whether the whole request was written without an error.
func (r *Response) requestWritten() bool {
	if r.asyncWrite == nil {
		return true
	}
	select {
	case <-r.asyncWrite.done:
		return r.asyncWrite.err == nil
	default:
		return false
	}
}

func (r *Response) releaseResponse() {
	r.conn = nil
	_ = r.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(r.resp)
}

// isTimeout reports whether err is caused by a deadline of the connection.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// BrokenOff reports whether an exchange that failed with err may have ended because the target
// closed or reset the connection, rather than by a timeout or the end of the caller's context.
func BrokenOff(err error) bool {
	var timeout net.Error
	return err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) &&
		(!errors.As(err, &timeout) || !timeout.Timeout())
}
