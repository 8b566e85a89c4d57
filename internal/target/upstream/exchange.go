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

// isTimeout reports whether err is caused by a deadline of the connection.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// BrokenOff reports whether an exchange that failed with err may have ended because the target
// closed or reset the connection, rather than by a timeout or the end of the caller's context.
func BrokenOff(err error) bool {
	var timeout net.Error
	return err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) &&
		(!errors.As(err, &timeout) || !timeout.Timeout())
}
