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
	// writeTimeout bounds the time that a write to a caller may block.
	writeTimeout = time.Minute
	// writeDeadlineInterval is the shortest time between two updates of the write
	// deadline, so that not every write needs one. A write may therefore time out this
	// much earlier than writeTimeout.
	writeDeadlineInterval = 5 * time.Second
	// maxIdleBuffer is the largest buffer, in bytes, that a stream keeps while it waits
	// for events.
	maxIdleBuffer = 512

	// keepAliveComment is an SSE comment, which clients ignore.
	keepAliveComment = ": waiting\n\n"
)

// streamToCaller sends the run's events to the caller as server-sent events. A run that
// fails before its first event is answered with the HTTP status of the error.
func (g *Gateway) streamToCaller(ctx *fasthttp.RequestCtx, in *inboundRequest, includeUsage bool) {
	reader := eventReader{conn: ctx.Conn(), run: in.run}
	events, done, apiErr, err := reader.next(0)
	if err != nil {
		done, apiErr = true, callerGoneError()
	}
	if done && apiErr != nil && len(events) == 0 {
		g.detachReader(in)
		g.sendError(ctx, in.run.ID(), apiErr)
		return
	}
	g.setStreamBody(ctx, in, &streamBody{includeUsage: includeUsage})
}

// streamToRouter sends the run's events to another router from the first one on. It
// sends comments while there are no events, so that the other router can tell a slow
// run from a router that has failed.
func (g *Gateway) streamToRouter(ctx *fasthttp.RequestCtx, in *inboundRequest) {
	g.setStreamBody(ctx, in, &streamBody{includeUsage: true, keepAlive: true})
}

// setStreamBody makes r the body of the answer.
func (g *Gateway) setStreamBody(ctx *fasthttp.RequestCtx, in *inboundRequest, r *streamBody) {
	r.eventReader = eventReader{conn: ctx.Conn(), run: in.run}
	r.onClose = func() {
		g.detachReader(in)
		g.reportBroken(in, r)
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.SetBodyStream(r, -1)
}

// streamBody is the body of a streamed answer: the run's log as server-sent events.
//
// The server reads it on the connection's own goroutine and sends what each
// Read returns at once.
type streamBody struct {
	eventReader
	includeUsage bool
	keepAlive    bool // send a comment if there was no event for connCheckInterval
	onClose      func()

	offset        int
	ended         bool
	sent          bool          // the end has been sent
	failure       *answer.Error // with which the run ended; nil if it did not fail
	pending       []byte        // encoded events that Read has not returned yet; part of buf
	buf           []byte        // buffer of encoded events
	deadlineSetAt time.Time
}

// Read returns the next bytes of the body. It blocks until there are some.
func (r *streamBody) Read(p []byte) (int, error) {
	if len(r.pending) == 0 {
		if err := r.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	r.extendWriteDeadline()
	return n, nil
}

// WriteTo writes the body to w, each event as soon as it is available. It spares the
// server a buffer between Read and the connection.
func (r *streamBody) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for {
		err := r.fill()
		if errors.Is(err, io.EOF) {
			return written, nil
		}
		if err != nil {
			return written, err
		}
		r.extendWriteDeadline()
		n, err := w.Write(r.pending)
		written += int64(n)
		if err != nil {
			return written, fmt.Errorf("write events: %w", err)
		}
	}
}

// SupportsBodyWriteTo tells fasthttp to use WriteTo instead of Read.
func (r *streamBody) SupportsBodyWriteTo() bool { return true }

// fill waits for new events and encodes them, or a comment, into the buffer. It returns
// io.EOF after the end of the log.
func (r *streamBody) fill() error {
	if r.ended {
		r.sent = true
		return io.EOF
	}
	if cap(r.buf) > maxIdleBuffer {
		r.buf = nil
	}
	buf := r.buf[:0]
	events, done, apiErr, err := r.next(r.offset)
	r.failure = apiErr
	switch {
	case errors.Is(err, errNoEvents) && r.keepAlive:
		buf = append(buf, keepAliveComment...)
	case err != nil:
		return err
	case apiErr != nil && apiErr.Code == errStopped.Code && r.keepAlive:
		// Without an end, the other router takes the run over.
		return apiErr
	}
	for _, ev := range events {
		buf = appendEvent(buf, ev)
	}
	if done {
		buf = appendEnd(buf, r.run, r.includeUsage, apiErr)
	}
	r.offset += len(events)
	r.ended = done
	r.pending, r.buf = buf, buf
	return nil
}

// reportBroken counts and logs a stream that has begun and was closed without the end of its answer.
// The reason is the code of the run's failure, or else the caller has left or does not read. A stop logs the runs
// that it cuts off itself.
func (g *Gateway) reportBroken(in *inboundRequest, r *streamBody) {
	reason, run := callerLeft, answer.Unknown
	switch {
	case r.failure != nil:
		reason, run = r.failure.Code, r.failure.Run
	case r.sent:
		return
	}
	brokenStreams.Add(reason, 1)
	if reason == errStopped.Code {
		return
	}
	g.Log.Info("stream broken", "request_id", in.run.ID(), "reason", reason, "run", run, "events", r.offset,
		"took_ms", time.Since(in.run.Began()).Milliseconds(), "to_router", in.fromRouter)
}

// next waits like eventReader.next, but returns errNoEvents when a comment is due.
func (r *streamBody) next(offset int) ([][]byte, bool, *answer.Error, error) {
	if r.keepAlive {
		return r.nextOrTimeout(offset)
	}
	return r.eventReader.next(offset)
}

// extendWriteDeadline sets the write deadline of the connection, at most once in
// writeDeadlineInterval.
func (r *streamBody) extendWriteDeadline() {
	if now := time.Now(); r.conn != nil && now.Sub(r.deadlineSetAt) > writeDeadlineInterval {
		r.deadlineSetAt = now
		_ = r.conn.SetWriteDeadline(now.Add(writeTimeout))
	}
}

// Close releases the stream's resources and its reader of the log, whether or not the
// stream was read to its end.
func (r *streamBody) Close() error {
	r.stopTimer()
	if r.conn != nil {
		_ = r.conn.SetWriteDeadline(time.Time{})
	}
	r.onClose()
	return nil
}

// appendEnd appends the end of a stream: the usage, if it is requested, and the final
// event. A stream that failed ends with the error instead.
func appendEnd(buf []byte, run *register.Run, includeUsage bool, apiErr *answer.Error) []byte {
	if apiErr != nil {
		return appendEvent(buf, apiErr.JSON(run.ID()))
	}
	if usage := run.Log().Usage(); includeUsage && usage != nil {
		buf = appendEvent(buf, usage)
	}
	return appendEvent(buf, []byte(chat.DoneEvent))
}

// appendEvent appends the data as one server-sent event.
func appendEvent(buf, data []byte) []byte {
	buf = append(buf, "data: "...)
	buf = append(buf, data...)
	return append(buf, "\n\n"...)
}
