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
	// writeApart is the size in bytes from which a request is written while its answer
	// is read, since a target may answer before it has read all of it.
	writeApart = 4096
	// maxForeign bounds the answers to other requests that are skipped.
	maxForeign = 4
	// maxForeignBody bounds the body of an answer that is skipped.
	maxForeignBody = 1 << 20
)

// errForeign reports that nothing but answers to other requests came.
var errForeign = errors.New("answers belong to other requests")

// Call is one request to send.
type Call struct {
	// Attempt is the id that the answer must carry.
	Attempt string
	// Request is written to the target.
	Request *fasthttp.Request
	// HeadBy is when the head of the answer must have come; zero leaves it to the context.
	HeadBy time.Time
}

// Identity is what an answer says about itself and its target.
type Identity struct {
	// Attempt is the id of the request that it answers, or empty.
	Attempt string
	// NotRun tells that the target did not run the request and never will.
	NotRun bool
	// Keep is how long the target keeps the idle connection; 0 if it does not say.
	Keep time.Duration
	// Notice is what the target wants of its callers from now on.
	Notice Notice
}

// Notice is what a target wants of its callers; the zero value is nothing.
type Notice struct {
	// Leaving tells that the target ends soon and takes no new requests.
	Leaving bool
	// Pause is how long this router shall send nothing at all to the target.
	Pause time.Duration
}

// Answer is a target's answer, whose body is still to be read. It must be ended by
// Keep or Drop.
type Answer struct {
	pool    *Pool
	conn    *conn
	resp    *fasthttp.Response
	id      Identity
	writing *writing // of a large request, beside the answer; nil if it was written before
	stop    func() bool
	ended   func() error // why the exchange was given up; nil if it was not
	body    io.Reader
	whole   bool // the body was read to its end
	skipped bool // other answers came before
}

// writing is the sending of a request while its answer is read.
type writing struct {
	done chan struct{} // closed at the end
	err  error         // valid once done is closed
}

// Send sends the request and returns when the header of its answer has come, at the
// latest when ctx ends; the end of ctx also ends the reading of the body. The line is
// used up.
//
// The error is a *runner.Error.
func (l *Line) Send(ctx context.Context, c Call) (*Answer, error) {
	a := l.begin(ctx)
	if err := a.write(c.Request); err != nil {
		a.Drop()
		return nil, err
	}
	if err := a.readHead(c); err != nil {
		if a.conn.reused && isTimeout(err) || ctx.Err() != nil {
			a.pool.Distrust()
		}
		a.Drop()
		return nil, &runner.Error{Run: answer.Unknown, Err: errors.Join(err, ctx.Err())}
	}
	if a.id.NotRun {
		err := &runner.Error{Run: answer.NotRun, Status: a.Status(), Err: fmt.Errorf("target answered %d without running the request", a.Status())}
		a.Keep()
		return nil, err
	}
	return a, nil
}

// write sends the request; a large one goes on in the background until the answer is
// ended.
func (a *Answer) write(req *fasthttp.Request) error {
	body := req.Body()
	if len(body) > 0 || !req.Header.IsGet() && !req.Header.IsHead() {
		req.Header.SetContentLength(len(body))
	}
	head := req.Header.Header()
	buffers := net.Buffers{append([]byte(nil), head...), body}
	if len(head)+len(body) <= writeApart {
		n, err := buffers.WriteTo(a.conn.Conn)
		if err == nil {
			return nil
		}
		state := answer.Unknown
		if n == 0 {
			state = answer.NotRun
		}
		return &runner.Error{Run: state, Err: fmt.Errorf("write request: %w", err)}
	}
	a.writing = &writing{done: make(chan struct{})}
	go a.writing.run(a.conn.Conn, buffers)
	return nil
}

func (w *writing) run(conn net.Conn, buffers net.Buffers) {
	defer close(w.done)
	_, w.err = buffers.WriteTo(conn)
}

// readHead reads the header of the answer that belongs to the request.
func (a *Answer) readHead(c Call) error {
	if err := a.conn.SetReadDeadline(c.HeadBy); err != nil {
		return fmt.Errorf("bound the wait for an answer: %w", err)
	}
	defer func() { _ = a.conn.SetReadDeadline(time.Time{}) }()
	a.resp.StreamBody = true
	for range maxForeign {
		if err := a.resp.ReadLimitBody(a.conn.br, 0); err != nil {
			return fmt.Errorf("read answer: %w", err)
		}
		a.body = a.resp.BodyStream()
		a.id = a.pool.identify(&a.resp.Header)
		if a.id.Attempt == "" || a.id.Attempt == c.Attempt {
			return nil
		}
		a.skipped = true
		if err := a.skip(); err != nil {
			return err
		}
	}
	return errForeign
}

// skip reads the body of an answer that belongs to another request.
func (a *Answer) skip() error {
	foreignAnswers.Add(1)
	if a.resp.Header.ContentLength() < -1 {
		return fmt.Errorf("%w, one without a length", errForeign)
	}
	if a.body == nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(a.body, maxForeignBody)); err != nil {
		return fmt.Errorf("skip an answer to another request: %w", err)
	}
	err := a.resp.CloseBodyStream()
	a.resp.Reset()
	a.resp.StreamBody = true
	return err
}

// begin starts an exchange on the line's connection.
func (l *Line) begin(ctx context.Context) *Answer {
	conn := l.conn
	l.conn = nil
	return &Answer{
		pool:  l.pool,
		conn:  conn,
		resp:  fasthttp.AcquireResponse(),
		stop:  context.AfterFunc(ctx, func() { _ = conn.Close() }),
		ended: ctx.Err,
	}
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.resp.StatusCode() }

// Header returns the header; it is valid until the answer has ended.
func (a *Answer) Header() *fasthttp.ResponseHeader { return &a.resp.Header }

// Reused reports whether the connection had carried an exchange before.
func (a *Answer) Reused() bool { return a.conn.reused }

// Body reads the whole body, of at most limit bytes. Before its memory grows, grow is asked
// for that many bytes; nil stands for one that always agrees.
func (a *Answer) Body(limit int64, grow func(n int64) error) ([]byte, error) {
	if a.body == nil {
		a.whole = true
		return nil, nil
	}
	if length := int64(a.resp.Header.ContentLength()); length > limit {
		return nil, fmt.Errorf("read body: %d bytes are more than %d", length, limit)
	}
	b := pieces{limit: limit, grow: grow}
	for {
		space, err := b.space()
		if err != nil {
			return nil, fmt.Errorf("read body: %w", err)
		}
		n, err := a.body.Read(space)
		b.took(n)
		if errors.Is(err, io.EOF) {
			a.whole = true
			return b.join()
		}
		if err != nil {
			return nil, fmt.Errorf("read body: %w", errors.Join(a.ended(), err))
		}
	}
}

// Read reads the next part of the body.
//
// The error is io.EOF at the end of a complete body.
func (a *Answer) Read(p []byte) (int, error) {
	if a.body == nil {
		a.whole = true
		return 0, io.EOF
	}
	n, err := a.body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		a.whole = true
	case err != nil:
		err = errors.Join(a.ended(), err)
	}
	return n, err
}

// SetReadDeadline bounds the next reads; the zero time lifts the bound.
func (a *Answer) SetReadDeadline(t time.Time) error { return a.conn.SetReadDeadline(t) }

// Drop ends the answer and its connection, by which most targets stop working on it.
func (a *Answer) Drop() {
	if a.conn == nil {
		return
	}
	a.stop()
	a.closeConn()
	a.release()
}

// closeConn closes the connection and returns when nothing reads the request any more,
// whose body belongs to the caller.
func (a *Answer) closeConn() {
	_ = a.conn.Close()
	if a.writing != nil {
		<-a.writing.done
	}
}

// Keep ends the answer and keeps its connection, if both ends agree on where it stands.
func (a *Answer) Keep() {
	if a.conn == nil {
		return
	}
	if !a.whole && a.body != nil {
		// A refusal has at most a short body.
		if _, err := a.Body(readBuffer, nil); err != nil {
			a.Drop()
			return
		}
	}
	keep := a.id.Keep
	if conn := a.detach(); conn != nil {
		a.pool.give(conn, keep)
	}
}

// detach ends an answer that was read as a whole, and returns its connection if both
// ends agree on where it stands.
func (a *Answer) detach() *conn {
	conn := a.conn
	usable := a.stop() && !a.skipped && a.requestWritten() && !a.resp.Header.ConnectionClose() &&
		a.resp.Header.ContentLength() >= -1 && conn.br.Buffered() == 0
	if !usable {
		a.closeConn()
		conn = nil
	}
	a.release()
	if conn != nil {
		conn.reused = true
	}
	return conn
}

// requestWritten reports whether the target has taken the whole request.
func (a *Answer) requestWritten() bool {
	if a.writing == nil {
		return true
	}
	select {
	case <-a.writing.done:
		return a.writing.err == nil
	default:
		return false
	}
}

func (a *Answer) release() {
	a.conn = nil
	_ = a.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(a.resp)
}

// isTimeout reports whether a wait on the connection has passed its bound.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
