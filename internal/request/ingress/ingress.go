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

	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/forward"
	"rosevalve/internal/workspace/plan"
)

const (
	// defaultHeaderBytes, defaultBodyBytes, defaultHeaderTime and defaultIdleTime hold
	// until the first routing plan has come.
	defaultHeaderBytes = 16 << 10
	defaultBodyBytes   = 4 << 20
	defaultHeaderTime  = 5 * time.Second
	defaultIdleTime    = time.Minute
	// maxHeaderBytes bounds the header whatever the plan says.
	maxHeaderBytes = 64 << 10
	writeBuffer    = 2048
	// copiedBody is the size in bytes up to which a body is copied and its answer ended
	// before it is written. The memory of a larger one counts until it was written.
	copiedBody = 16 << 10
)

// Server serves routed requests over HTTP.
type Server struct {
	// Forwarder serves the requests.
	Forwarder *forward.Forwarder
	// Request reads what a caller has sent.
	Request func(in *fasthttp.Request, arrived time.Time) (*forward.Request, error)
	// Relay writes the status and the header of a target's answer.
	Relay func(out *fasthttp.Response, status int, from *fasthttp.ResponseHeader)
	// Refuse writes an answer of the router's own.
	Refuse func(out *fasthttp.Response, refusal *answer.Error, requestID string)
	// Plan returns the newest routing plan, or nil if there is none.
	Plan func() *plan.Plan
	// OnBytes is told of bytes that go over this VM's link; it must not block.
	OnBytes func(n int)
	// Leaving reports whether callers shall send nothing more on their connections.
	Leaving func() bool
	// OnUnread is told of requests that could not be read; it must not block.
	OnUnread func(status int, err error)
	// Log receives what the HTTP library tells of connections.
	Log fasthttp.Logger

	once      sync.Once
	http      *fasthttp.Server
	inFlight  atomic.Int64
	callers   callers
	listening atomic.Pointer[listener]
}

func (s *Server) init() {
	s.once.Do(func() {
		s.http = &fasthttp.Server{
			Handler:                      s.handle,
			ErrorHandler:                 s.unreadable,
			HeaderReceived:               s.limitBody,
			ConnState:                    onState,
			ReadBufferSize:               defaultHeaderBytes + writeBuffer,
			WriteBufferSize:              writeBuffer,
			MaxRequestBodySize:           defaultBodyBytes,
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

// Serve accepts callers until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	s.init()
	accepting := &listener{Listener: l, limits: s.times, log: s.Log, callers: &s.callers, closed: make(chan struct{})}
	s.listening.Store(accepting)
	if err := s.http.Serve(accepting); err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// Shutdown closes the listener, and waits until no connection is open or ctx ends. Those
// without a request are closed in a moment.
func (s *Server) Shutdown(ctx context.Context) error {
	s.init()
	var closeErr error
	if l := s.listening.Load(); l != nil {
		closeErr = l.Close()
	}
	// The library would close connections on which a request has just come.
	s.callers.stop(ctx)
	return errors.Join(closeErr, s.http.ShutdownWithContext(ctx))
}

// InFlight returns the number of requests that are being served.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// limits returns what bounds callers now.
func (s *Server) limits() plan.Limits {
	out := plan.Limits{
		HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes,
		HeaderTimeout: defaultHeaderTime, IdleTimeout: defaultIdleTime,
	}
	p := s.Plan()
	if p == nil {
		return out
	}
	l := p.Limits()
	if l.HeaderBytes > 0 {
		out.HeaderBytes = l.HeaderBytes
	}
	if l.BodyBytes > 0 {
		out.BodyBytes = l.BodyBytes
	}
	if l.HeaderTimeout > 0 {
		out.HeaderTimeout = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		out.IdleTimeout = l.IdleTimeout
	}
	return out
}

func (s *Server) times() (header, idle time.Duration) {
	l := s.limits()
	return l.HeaderTimeout, l.IdleTimeout
}

// limitBody bounds the body of a request whose header has come.
func (s *Server) limitBody(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{MaxRequestBodySize: s.limits().BodyBytes}
}

// unreadable answers what the HTTP library could not read.
func (s *Server) unreadable(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var tooLong *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &tooLong):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case isTimeout(err):
		status = fasthttp.StatusRequestTimeout
	}
	if c, ok := ctx.Conn().(*conn); ok {
		c.LingerOnClose()
	}
	s.reject(ctx, status, "request", err)
}

// reject refuses a request that could not be read.
func (s *Server) reject(ctx *fasthttp.RequestCtx, status int, part string, err error) {
	s.OnUnread(status, err)
	s.Refuse(&ctx.Response, answer.Invalid(status, part, "request could not be read: %v", err), "")
}

// handle serves one request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.inFlight.Add(1)
	ended := false
	defer func() {
		if !ended {
			s.inFlight.Add(-1)
		}
	}()
	if s.Leaving() || s.callers.isStopping() {
		ctx.SetConnectionClose()
	}
	if len(ctx.Request.Header.RawHeaders()) > s.limits().HeaderBytes {
		s.reject(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, "header", fmt.Errorf("header is larger than %d bytes", s.limits().HeaderBytes))
		return
	}
	if framedTwice(&ctx.Request.Header) {
		s.reject(ctx, fasthttp.StatusBadRequest, "header", errors.New("body has a length and is chunked"))
		ctx.SetConnectionClose()
		return
	}
	r, err := s.Request(&ctx.Request, ctx.Time())
	if err != nil {
		s.reject(ctx, fasthttp.StatusBadRequest, "request", err)
		return
	}
	// What comes from a caller goes on to a target, and the other way round.
	s.OnBytes(2 * (len(ctx.Request.Header.RawHeaders()) + len(r.Body)))
	callerCtx, leave := context.WithCancel(context.Background())
	if c, ok := ctx.Conn().(*conn); ok {
		c.watch(leave)
	}
	a, err := s.Forwarder.Serve(callerCtx, r)
	if err != nil {
		leave()
		s.refuse(ctx, r, err)
		return
	}
	s.Relay(&ctx.Response, a.Status, a.Header)
	if a.Stream == nil {
		s.OnBytes(2 * len(a.Body))
	}
	if a.Stream == nil && len(a.Body) <= copiedBody {
		ctx.Response.SetBody(a.Body)
		a.Close()
		leave()
		return
	}
	ended = true
	end := func() {
		a.Close()
		leave()
		s.inFlight.Add(-1)
	}
	if a.Stream == nil {
		ctx.SetBodyStream(&wholeBody{Reader: bytes.NewReader(a.Body), close: end}, len(a.Body))
		return
	}
	ctx.SetBodyStream(&body{answer: a, onBytes: s.OnBytes, close: end}, -1)
}

// framedTwice reports whether the header tells the end of the body in two ways, which
// others on the way may have read differently.
func framedTwice(h *fasthttp.RequestHeader) bool {
	length, chunked := false, false
	for line := range bytes.Lines(h.RawHeaders()) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		length = length || bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength))
		chunked = chunked || bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding))
	}
	return length && chunked
}

// refuse answers a request that got no answer from a target.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, r *forward.Request, err error) {
	var refusal *answer.Error
	if !errors.As(err, &refusal) {
		refusal = &answer.Error{Status: fasthttp.StatusInternalServerError, Code: "internal", Message: err.Error(), Run: answer.Unknown}
	}
	s.Refuse(&ctx.Response, refusal, r.ID)
}

// body is the body of a streamed answer.
type body struct {
	answer  *forward.Answer
	onBytes func(n int)
	close   func()
}

// Read is not used, since the server writes the body by WriteTo.
func (b *body) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// SupportsBodyWriteTo tells the server that WriteTo may stand for Read.
func (b *body) SupportsBodyWriteTo() bool { return true }

// WriteTo relays the events as they come.
func (b *body) WriteTo(w io.Writer) (int64, error) {
	n, err := b.answer.Stream.WriteTo(w)
	b.onBytes(2 * int(n))
	return n, err
}

// Close ends the answer, whether it was relayed as a whole or not.
func (b *body) Close() error {
	b.close()
	return nil
}

// wholeBody is a large body that was read as a whole.
type wholeBody struct {
	*bytes.Reader
	close func()
}

// Close ends the answer.
func (b *wholeBody) Close() error {
	b.close()
	return nil
}
