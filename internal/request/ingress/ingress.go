package ingress

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/callers"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/forward"
	"rosevalve/internal/request/memory"
	"rosevalve/internal/workspace/plan"
)

const (
	// defaultHeaderBytes, defaultBodyBytes, defaultHeaderTimeout and defaultIdleTimeout are the
	// limits until the first routing plan is read, and for those that a plan leaves out.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = time.Minute
	writeBufferSize      = 2048
	// evictedRetryAfter is when a caller may come back whose request was given up while it arrived.
	evictedRetryAfter = time.Second
	// maxCopiedBody is the largest body, in bytes, that is copied so that the answer can be
	// closed before the body is written. A larger one counts towards the memory of buffered
	// answers until it is written.
	maxCopiedBody = 16 << 10
)

// Server is the HTTP server for routed requests.
type Server struct {
	// Forwarder serves the requests.
	Forwarder *forward.Forwarder
	// ParseRequest parses the request of a caller that was read at the time arrived.
	ParseRequest func(in *fasthttp.Request, arrived time.Time) (*forward.Request, error)
	// WriteResponseHeader writes the status and the header of a target's answer to out.
	WriteResponseHeader func(out *fasthttp.Response, status int, from *fasthttp.ResponseHeader)
	// WriteError writes refusal, an answer of the router's own, to out. The requestID is empty if
	// the request could not be parsed.
	WriteError func(out *fasthttp.Response, refusal *answer.Error, requestID string)
	// Plan returns the current routing plan, or nil before the first one was read.
	Plan func() *plan.Plan
	// OnBytes is called with the number of bytes that were sent or received over this VM's
	// network link; it must not block.
	OnBytes func(n int)
	// ClosingConnections reports whether connections must be closed after the current answer.
	ClosingConnections func() bool
	// OnInvalidRequest is called for each request that could not be read or parsed, with the
	// status of its answer; it must not block.
	OnInvalidRequest func(status int, err error)
	// OnDenied is called if the system denies a socket option, as callers.Server has it.
	OnDenied func(err error)
	// Memory bounds the memory of requests that arrive or are served; nil does not.
	Memory *memory.Budget
	// Owner returns the workspace of a request whose header was read, and whether its key is valid.
	Owner func(h *fasthttp.RequestHeader) (workspace string, valid bool)
	// MaxConns, WriteStall and OnEvicted are as callers.Server has them.
	MaxConns   func() int
	WriteStall time.Duration
	OnEvicted  func(r callers.Reason)
	// Log receives the messages of the HTTP library and of the listener.
	Log fasthttp.Logger

	once     sync.Once
	callers  callers.Server
	owners   owners
	buffers  buffers
	inFlight atomic.Int64
	requests context.Context         // parent of all requests' contexts
	cutOff   context.CancelCauseFunc // cancels requests
}

func (s *Server) init() {
	s.once.Do(func() {
		s.requests, s.cutOff = context.WithCancelCause(context.Background())
		s.callers.Timeouts = s.timeouts
		s.callers.OnDenied = s.OnDenied
		s.callers.Log = s.Log
		s.callers.CutOff = s.cutOffRequests
		s.callers.HoldBodies = true
		s.callers.Memory = s.Memory
		s.callers.MaxConns = s.MaxConns
		s.callers.WriteStall = s.WriteStall
		s.callers.BodyRate = func() int { return s.limits().MaxHeaderBytes }
		s.callers.OnEvicted = s.OnEvicted
		s.callers.HTTP = &fasthttp.Server{
			Handler:                      s.handle,
			ErrorHandler:                 s.handleReadError,
			HeaderReceived:               keepBody,
			ReadBufferSize:               defaultHeaderBytes + writeBufferSize,
			WriteBufferSize:              writeBufferSize,
			CloseOnShutdown:              true,
			NoDefaultServerHeader:        true,
			NoDefaultDate:                true,
			NoDefaultContentType:         true,
			DisablePreParseMultipartForm: true,
			ReduceMemoryUsage:            true,
			Logger:                       s.Log,
		}
	})
}

// Serve accepts connections and serves their requests until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	s.init()
	return s.callers.Serve(l)
}

// Shutdown closes the listener and waits until no connection is open or ctx ends. Connections that
// stay without a request are closed. Requests that are in flight when ctx ends are cut off.
func (s *Server) Shutdown(ctx context.Context) error {
	s.init()
	return s.callers.Shutdown(ctx)
}

// cutOffRequests cancels the requests in flight. The error says how many there were.
func (s *Server) cutOffRequests() error {
	n := s.InFlight()
	s.cutOff(forward.ErrStopped)
	if n == 0 {
		return nil
	}
	return fmt.Errorf("%d requests were cut off", n)
}

// EndUnread ends the connections whose callers take nothing of their answers, and reports whether there are any.
func (s *Server) EndUnread() bool { return s.callers.EndUnread() }

// Connections returns the number of open connections.
func (s *Server) Connections() int { return s.callers.Connections() }

// CloseIdle closes connections that wait for a request, the oldest first, and reports whether there were any.
func (s *Server) CloseIdle() bool { return s.callers.CloseIdle() }

// InFlight returns the number of requests that are being served.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// limits returns the current limits for requests and connections.
func (s *Server) limits() plan.Limits {
	out := plan.Limits{
		MaxHeaderBytes: defaultHeaderBytes, MaxBodyBytes: defaultBodyBytes,
		HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
	}
	p := s.Plan()
	if p == nil {
		return out
	}
	l := p.Limits()
	if l.MaxHeaderBytes > 0 {
		out.MaxHeaderBytes = l.MaxHeaderBytes
	}
	if l.MaxBodyBytes > 0 {
		out.MaxBodyBytes = l.MaxBodyBytes
	}
	if l.HeaderTimeout > 0 {
		out.HeaderTimeout = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		out.IdleTimeout = l.IdleTimeout
	}
	return out
}

func (s *Server) timeouts() (header, idle time.Duration) {
	l := s.limits()
	return l.HeaderTimeout, l.IdleTimeout
}

// keepBody keeps the HTTP library from reading the body of a request whose header was read. It would allocate all that is
// announced.
func keepBody(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	h.SetContentLength(0)
	return fasthttp.RequestConfig{}
}

// handleReadError answers a request that could not be read.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var headerTooLarge *fasthttp.ErrSmallBuffer
	switch {
	case isEvicted(ctx):
		status = fasthttp.StatusServiceUnavailable
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &headerTooLarge):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case callers.IsTimeout(err):
		status = fasthttp.StatusRequestTimeout
	}
	lingerOnClose(ctx)
	s.reject(ctx, status, "request", err)
}

// isEvicted reports whether the request was given up before it was read.
func isEvicted(ctx *fasthttp.RequestCtx) bool {
	c, ok := ctx.Conn().(*callers.Conn)
	return ok && c.Evicted()
}

// lingerOnClose lets the refusal of a request that is still arriving reach its caller.
func lingerOnClose(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*callers.Conn); ok {
		c.LingerOnClose()
	}
}

// reject answers a request that could not be read or parsed, and reports it to
// OnInvalidRequest.
func (s *Server) reject(ctx *fasthttp.RequestCtx, status int, param string, err error) {
	s.OnInvalidRequest(status, err)
	if status == fasthttp.StatusServiceUnavailable {
		s.WriteError(&ctx.Response, answer.Retryable(status, "out_of_memory", evictedRetryAfter, "router has too many requests that are still arriving"), "")
		return
	}
	s.WriteError(&ctx.Response, answer.Invalid(status, param, "request could not be read: %v", err), "")
}

// handle serves one request. A streamed or large body is written after it returns; the
// request is in flight until then.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.inFlight.Add(1)
	endDeferred := false
	defer func() {
		if !endDeferred {
			s.inFlight.Add(-1)
		}
	}()
	if s.ClosingConnections() {
		ctx.SetConnectionClose()
	}
	f, err := framingOf(&ctx.Request.Header)
	if err != nil {
		s.reject(ctx, fasthttp.StatusBadRequest, "header", err)
		ctx.SetConnectionClose()
		// The body has not been read.
		lingerOnClose(ctx)
		return
	}
	received := acquireBody()
	if err := s.receive(ctx, f, received); err != nil {
		received.release()
		s.refuseUnread(ctx, err)
		return
	}
	ctx.Request.SetBodyRaw(received.bytes)
	if s.serve(ctx, received) {
		endDeferred = true
		return
	}
	received.release()
}

// serve answers a request that was read. If the body of the answer is written later, it returns true, and the request is in
// flight until then; received is released at its end.
func (s *Server) serve(ctx *fasthttp.RequestCtx, received *body) (deferred bool) {
	if len(ctx.Request.Header.RawHeaders()) > s.limits().MaxHeaderBytes {
		s.reject(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, "header", fmt.Errorf("header is larger than %d bytes", s.limits().MaxHeaderBytes))
		return false
	}
	r, err := s.ParseRequest(&ctx.Request, ctx.Time())
	if err != nil {
		s.reject(ctx, fasthttp.StatusBadRequest, "request", err)
		return false
	}
	// The bytes cross the link twice: from the caller and to the target, or the reverse.
	s.OnBytes(2 * (len(ctx.Request.Header.RawHeaders()) + len(r.Body)))
	r.ConnRequests = ctx.ConnRequestNum()
	callerCtx, cancelCaller := context.WithCancel(s.requests)
	if c, ok := ctx.Conn().(*callers.Conn); ok {
		c.Watch(cancelCaller)
	}
	a, err := s.Forwarder.Serve(callerCtx, r)
	if err != nil {
		cancelCaller()
		s.refuse(ctx, r, err)
		return false
	}
	s.WriteResponseHeader(&ctx.Response, a.Status, a.Header)
	if a.Stream == nil {
		s.OnBytes(2 * len(a.Body))
	}
	if a.Stream == nil && len(a.Body) <= maxCopiedBody {
		ctx.Response.SetBody(a.Body)
		a.Close()
		cancelCaller()
		return false
	}
	end := func() {
		a.Close()
		cancelCaller()
		received.release()
		s.inFlight.Add(-1)
	}
	if a.Stream == nil {
		ctx.SetBodyStream(&bufferedBody{Reader: bytes.NewReader(a.Body), close: end}, len(a.Body))
		return true
	}
	ctx.SetBodyStream(&streamBody{answer: a, onBytes: s.OnBytes, close: end}, -1)
	return true
}

// refuse answers a request for which the forwarder returned an error.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, r *forward.Request, err error) {
	var refusal *answer.Error
	if !errors.As(err, &refusal) {
		refusal = &answer.Error{Status: fasthttp.StatusInternalServerError, Code: "internal", Message: err.Error(), Run: answer.Unknown}
	}
	s.WriteError(&ctx.Response, refusal, r.ID)
}

// streamBody writes the body of a streamed answer.
type streamBody struct {
	answer  *forward.Answer
	onBytes func(n int)
	close   func()
}

// Read is never called, since the server writes the body with WriteTo.
func (b *streamBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// SupportsBodyWriteTo makes the server call WriteTo instead of Read.
func (b *streamBody) SupportsBodyWriteTo() bool { return true }

// WriteTo relays the events as they arrive, and returns the number of bytes written.
func (b *streamBody) WriteTo(w io.Writer) (int64, error) {
	n, err := b.answer.Stream.WriteTo(w)
	b.onBytes(2 * int(n))
	return n, err
}

// Close ends the answer, whether it was relayed completely or not.
func (b *streamBody) Close() error {
	b.close()
	return nil
}

// bufferedBody is a body larger than maxCopiedBody that was read completely.
type bufferedBody struct {
	*bytes.Reader
	close func()
}

// Close ends the answer.
func (b *bufferedBody) Close() error {
	b.close()
	return nil
}
