package gateway

import (
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/register"
)

const (
	// callerTimeout bounds the wait for a caller to take a part of its answer.
	callerTimeout = time.Minute
	// callerTimeoutSlack is how late that may be noticed.
	callerTimeoutSlack = 5 * time.Second
	// maxIdleFrame is the largest buffer that a waiting stream keeps.
	maxIdleFrame = 512

	waitingComment = ": waiting\n\n"
)

// relay streams the run's events to the caller.
func (g *Gateway) relay(ctx *fasthttp.RequestCtx, in *intake, includeUsage bool) {
	first := reader{conn: ctx.Conn(), run: in.run}
	events, done, fail, err := first.next(0)
	if err != nil {
		g.leave(in)
		return
	}
	if done && fail != nil && len(events) == 0 {
		g.leave(in)
		g.fail(ctx, in.run.ID(), fail)
		return
	}
	g.streamLog(ctx, in, &logReader{includeUsage: includeUsage})
}

// relayRaw streams the run's events to another router, from the beginning and
// with a comment now and then, by which that router sees that this one lives.
func (g *Gateway) relayRaw(ctx *fasthttp.RequestCtx, in *intake) {
	g.streamLog(ctx, in, &logReader{includeUsage: true, comments: true})
}

func (g *Gateway) streamLog(ctx *fasthttp.RequestCtx, in *intake, r *logReader) {
	r.reader = reader{conn: ctx.Conn(), run: in.run}
	r.leave = func() { g.leave(in) }
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.SetBodyStream(r, -1)
}

// logReader is the body of a streamed answer: the run's log, framed as events.
//
// The server reads it on the connection's own goroutine and sends what each
// Read returns at once.
type logReader struct {
	reader
	includeUsage bool
	comments     bool // send a comment while there is nothing else
	leave        func()

	offset  int
	ended   bool
	frame   []byte // framed and not yet read
	backing []byte // what frame is a part of
	armed   time.Time
}

// Read returns the next part of the body.
func (r *logReader) Read(p []byte) (int, error) {
	if len(r.frame) == 0 {
		if err := r.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.frame)
	r.frame = r.frame[n:]
	r.armTimeout()
	return n, nil
}

// WriteTo writes the body, each part as soon as it has come.
//
// By it the server needs no buffer of its own between Read and the connection.
func (r *logReader) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for {
		err := r.fill()
		if errors.Is(err, io.EOF) {
			return written, nil
		}
		if err != nil {
			return written, err
		}
		r.armTimeout()
		n, err := w.Write(r.frame)
		written += int64(n)
		if err != nil {
			return written, fmt.Errorf("write events: %w", err)
		}
	}
}

// SupportsBodyWriteTo tells the server that WriteTo may stand for Read.
func (r *logReader) SupportsBodyWriteTo() bool { return true }

// fill frames the events that have come since the last call, waiting for one.
func (r *logReader) fill() error {
	if r.ended {
		return io.EOF
	}
	if cap(r.backing) > maxIdleFrame {
		r.backing = nil
	}
	out := r.backing[:0]
	events, done, fail, err := r.next(r.offset)
	switch {
	case errors.Is(err, errWaiting) && r.comments:
		out = append(out, waitingComment...)
	case err != nil:
		return err
	}
	for _, ev := range events {
		out = appendEvent(out, ev)
	}
	if done {
		out = appendEnd(out, r.run, r.includeUsage, fail)
	}
	r.offset += len(events)
	r.ended = done
	r.frame, r.backing = out, out
	return nil
}

// next waits like reader.next, but for streams with comments only until one is due.
func (r *logReader) next(offset int) ([][]byte, bool, *answer.Error, error) {
	if r.comments {
		return r.nextWithin(offset)
	}
	return r.reader.next(offset)
}

// armTimeout bounds the write that follows a read.
func (r *logReader) armTimeout() {
	if now := time.Now(); r.conn != nil && now.Sub(r.armed) > callerTimeoutSlack {
		r.armed = now
		_ = r.conn.SetWriteDeadline(now.Add(callerTimeout))
	}
}

// Close ends the stream, whether it was read to the end or not.
func (r *logReader) Close() error {
	r.stop()
	if r.conn != nil {
		_ = r.conn.SetWriteDeadline(time.Time{})
	}
	r.leave()
	return nil
}

// appendEnd closes a stream; one that failed gets the error in place of the last event.
func appendEnd(out []byte, run *register.Run, includeUsage bool, fail *answer.Error) []byte {
	if fail != nil {
		return appendEvent(out, fail.JSON(run.ID()))
	}
	if usage := run.Log().Usage(); includeUsage && usage != nil {
		out = appendEvent(out, usage)
	}
	return appendEvent(out, []byte(chat.DoneEvent))
}

func appendEvent(out, data []byte) []byte {
	out = append(out, "data: "...)
	out = append(out, data...)
	return append(out, "\n\n"...)
}
