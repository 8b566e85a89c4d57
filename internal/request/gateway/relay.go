package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/register"
)

const (
	// presenceInterval is the time between checks whether a waiting caller is still there.
	presenceInterval = 2 * time.Second
	// callerTimeout bounds the wait for a caller to take a part of its answer.
	callerTimeout = time.Minute
)

var errCallerGone = errors.New("caller has gone")

// next waits for events like Log.Next, and fails when the caller has gone.
func next(conn net.Conn, run *register.Run, offset int) ([][]byte, bool, *answer.Error, error) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), presenceInterval)
		events, done, fail, err := run.Log().Next(ctx, offset)
		cancel()
		if err == nil {
			return events, done, fail, nil
		}
		if gone(conn) {
			return nil, false, nil, errCallerGone
		}
	}
}

// gone reports whether the other end has closed the connection.
//
// It looks at the socket's buffer without taking anything out of it.
func gone(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	var n int
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return true
	case errors.Is(peekErr, syscall.EAGAIN) || errors.Is(peekErr, syscall.EINTR):
		return false
	default:
		return peekErr != nil || n == 0
	}
}

// relay streams the run's events to the caller.
func (g *Gateway) relay(ctx *fasthttp.RequestCtx, in *intake, includeUsage bool) {
	conn := ctx.Conn()
	events, done, fail, err := next(conn, in.run, 0)
	if err != nil {
		g.leave(in)
		return
	}
	if done && fail != nil && len(events) == 0 {
		g.leave(in)
		g.fail(ctx, in.run.ID(), fail)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer g.leave(in)
		if err := writeLog(w, conn, in.run, includeUsage); err != nil {
			g.Log.Debug("caller left", "request_id", in.run.ID(), "err", err)
		}
	})
}

// relayRaw streams the run's events to another router, from the beginning and
// with a comment now and then, by which that router sees that this one lives.
func (g *Gateway) relayRaw(ctx *fasthttp.RequestCtx, in *intake) {
	conn := ctx.Conn()
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer g.leave(in)
		for in.run.Log().Waiting(presenceInterval) {
			_, _ = w.WriteString(": waiting\n\n")
			if w.Flush() != nil {
				return
			}
		}
		if err := writeLog(w, conn, in.run, true); err != nil {
			g.Log.Debug("router left", "request_id", in.run.ID(), "err", err)
		}
	})
}

// writeLog sends the log from its beginning to its end.
func writeLog(w *bufio.Writer, conn net.Conn, run *register.Run, includeUsage bool) error {
	offset := 0
	for {
		events, done, fail, err := next(conn, run, offset)
		if err != nil {
			return fmt.Errorf("read log: %w", err)
		}
		offset += len(events)
		for _, ev := range events {
			writeEvent(w, ev)
		}
		if done {
			writeEnd(w, run, includeUsage, fail)
		}
		if conn != nil {
			_ = conn.SetWriteDeadline(time.Now().Add(callerTimeout))
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("send events: %w", err)
		}
		if done {
			return nil
		}
	}
}

// writeEnd closes a stream; one that failed gets the error in place of the last event.
func writeEnd(w *bufio.Writer, run *register.Run, includeUsage bool, fail *answer.Error) {
	if fail != nil {
		writeEvent(w, fail.JSON(run.ID()))
		return
	}
	if usage := run.Log().Usage(); includeUsage && usage != nil {
		writeEvent(w, usage)
	}
	writeEvent(w, []byte(chat.DoneEvent))
}

// writeEvent frames one event; a failed write is reported by the next flush.
func writeEvent(w *bufio.Writer, data []byte) {
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
}
