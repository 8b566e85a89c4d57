package callers

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/socket"
	"rosevalve/internal/request/memory"
)

// Server serves callers' connections with an HTTP server. All fields are set before Serve.
type Server struct {
	// HTTP reads requests and writes answers. Its timeouts stay unset; Serve sets ConnState and wraps
	// the handlers. IsTimeout holds for the error of a request that took too long to arrive.
	HTTP *fasthttp.Server
	// Timeouts returns how long the header of a request may take to arrive from its first byte on, which
	// is also how long its body may pause if that is more than 3 s, and how long a connection may stay without a
	// request; 0 stands for no limit. During a shutdown, the limit of a header holds for the whole of a pipelined request.
	Timeouts func() (header, idle time.Duration)
	// Log receives the messages of the listener.
	Log fasthttp.Logger
	// OnDenied is called once if the system denies a socket option that closes the listener without
	// resetting connections, and another way is used; it must not block.
	OnDenied func(err error)
	// CutOff ends the requests in flight, if there are any when the context of Shutdown ends. Its error
	// tells what was cut off. Requests that are still arriving are refused then. If nil, all go on.
	CutOff func() error
	// HoldBodies leaves the bodies of requests to the handler, which reads them with Conn.ReadBody. The HTTP server must be
	// told that requests have none.
	HoldBodies bool
	// Memory bounds the memory of requests that arrive or are served; nil does not. When it runs out, requests that are not
	// read completely are given up: the handlers refuse those of which Conn.Evicted holds.
	Memory *memory.Budget
	// MaxConns returns the largest number of open connections; if it is nil, they are not bounded. Beyond it, the oldest idle ones are closed, then requests that are not
	// read completely are given up.
	MaxConns func() int
	// WriteStall is how long a caller may take to receive a part of 16 KiB of its answer; 0 is no limit.
	WriteStall time.Duration
	// BodyRate returns how many bytes of a body must arrive in the time limit of a header; 0, or nil, is no limit.
	BodyRate func() int
	// OnEvicted is called when a connection ends since something is short or its caller does not read; it must not block. It
	// may be nil.
	OnEvicted func(r Reason)

	conns          connSet
	activeListener atomic.Pointer[listener]
}

// Serve accepts connections and serves their requests until the listener is closed. A server has one
// listener: further calls fail.
func (s *Server) Serve(l net.Listener) error {
	wrapped := &listener{
		Listener: l, limits: s.Timeouts, log: s.Log, conns: &s.conns, onDenied: s.OnDenied,
		dropByFilter: socket.DropHandshakes, dropByTTL: socket.DropHandshakesByTTL, closed: make(chan struct{}),
	}
	if !s.activeListener.CompareAndSwap(nil, wrapped) {
		return errors.New("serve callers: Serve was called before")
	}
	s.conns.holdsBodies, s.conns.memory, s.conns.maxConns = s.HoldBodies, s.Memory, s.MaxConns
	s.conns.writeStall, s.conns.bodyRate, s.conns.onEvicted = s.WriteStall, s.BodyRate, s.OnEvicted
	s.HTTP.ConnState = onState
	s.HTTP.Handler = s.closeAtShutdown(s.HTTP.Handler)
	if handle := s.HTTP.ErrorHandler; handle != nil {
		s.HTTP.ErrorHandler = withTimeouts(handle)
	}
	if err := s.HTTP.Serve(wrapped); err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// withTimeouts returns an error handler that is told of every timeout.
func withTimeouts(handle func(ctx *fasthttp.RequestCtx, err error)) func(ctx *fasthttp.RequestCtx, err error) {
	return func(ctx *fasthttp.RequestCtx, err error) {
		if c, ok := ctx.Conn().(*Conn); ok {
			err = c.ReadError(err)
		}
		handle(ctx, err)
	}
}

const (
	// cutOffTimeout is how long connections may take to close after CutOff.
	cutOffTimeout = 100 * time.Millisecond
	// cutOffWriteTimeout is how long of that a write may take: the answers that CutOff causes are sent, and
	// a write to a caller that does not read ends early enough for its request to be settled.
	cutOffWriteTimeout = cutOffTimeout / 2
)

// CloseIdle closes connections that wait for a request, the oldest first, and reports whether there were any.
func (s *Server) CloseIdle() bool { return s.conns.closeIdle(1) > 0 }

// Connections returns the number of open connections.
func (s *Server) Connections() int { return s.conns.count() }

// Shutdown closes the listener and waits until no connection is open or ctx ends. It closes
// connections that stay without a request for shutdownIdleTimeout, and calls CutOff when ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	var closeErr error
	if l := s.activeListener.Load(); l != nil {
		closeErr = l.Close()
	}
	// Wait before the library shuts down: it would close connections on which a request has
	// just arrived.
	s.conns.shutdown(ctx)
	var cutErr error
	if ctx.Err() != nil && s.CutOff != nil {
		cutErr = s.cutOff()
	}
	return errors.Join(closeErr, cutErr, s.HTTP.ShutdownWithContext(ctx))
}

// cutOff calls CutOff, refuses requests that are still arriving, ends blocked writes, and waits until the connections are
// closed, for at most cutOffTimeout.
func (s *Server) cutOff() error {
	err := s.CutOff()
	s.conns.endReads()
	s.conns.endWrites(time.Now().Add(cutOffWriteTimeout))
	ctx, cancel := context.WithTimeout(context.Background(), cutOffTimeout)
	defer cancel()
	s.conns.shutdown(ctx)
	return err
}

// closeAtShutdown returns a handler whose answers announce the end of the connection once Shutdown waits
// for connections to end.
func (s *Server) closeAtShutdown(handle fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		handle(ctx)
		if s.conns.isShuttingDown() {
			ctx.SetConnectionClose()
		}
	}
}
