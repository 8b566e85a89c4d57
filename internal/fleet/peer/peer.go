package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"log"
	"net"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"rosevalve/internal/platform/timeout"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/protocol/socket"
	"rosevalve/internal/request/memory"
)

const (
	callTimeout = time.Second
	// acceptBackoff is the pause after no connection could be accepted for a reason that passes.
	acceptBackoff = 100 * time.Millisecond
	// maxFetchWait bounds how long a fetched reply may take to begin. It is never less than callTimeout.
	maxFetchWait = 3 * time.Second

	handlerWorkers   = 64
	handlerQueueSize = 1024 // received calls that wait for a worker; more are rejected
)

// codeNotStarted is the JSON-RPC error code of a call that was rejected before its handler started.
const codeNotStarted = -32000

// ErrNotSent reports that the peer's handler has not started to process the call, so
// that retrying the call is safe.
var ErrNotSent = errors.New("call not sent")

// ErrPlaintext reports a plaintext connection to a non-loopback address, which is
// allowed only with Transport.AllowPlaintext.
var ErrPlaintext = errors.New("connection without TLS to another machine")

// Handler processes one call and returns its result, which is encoded as JSON. params
// is the JSON encoding of the method's request type.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Transport serves the inner protocol's methods to other routers and calls them on other
// routers. The fields are set before the first call of a method.
type Transport struct {
	// Self returns the current description of this router, which is sent in Hello messages.
	Self func() inner.Member
	// Handlers maps the name of each method to its handler. It does not change after
	// Serve is called.
	Handlers map[string]Handler
	// Credentials configures TLS; nil means that connections are plaintext.
	Credentials *Credentials
	// AllowPlaintext permits plaintext connections to and from non-loopback addresses.
	AllowPlaintext bool
	// Log receives the RPC library's messages about connections; nil means standard error.
	Log jsonrpc2.Logger
	// Memory bounds the memory of received messages; nil does not.
	Memory *memory.Budget
	// IdleTimeout is the time without received data after which a connection is closed.
	// The default is 30 seconds.
	IdleTimeout time.Duration
	// MaxConnAge is the age after which a dialled connection is replaced by a new one. The
	// default is 10 minutes.
	MaxConnAge time.Duration

	once    sync.Once // for init
	workers pond.Pool // runs the handlers

	// fetchLatency estimates how long fetched replies take to begin.
	fetchLatency timeout.Estimator

	mu       sync.Mutex // guards peers and accepted
	peers    map[peerKey]*peerClient
	accepted map[net.Conn]bool // open accepted connections
}

// init sets defaults and creates the worker pool and the maps.
func (t *Transport) init() {
	t.once.Do(func() {
		if t.IdleTimeout == 0 {
			t.IdleTimeout = defaultIdleTimeout
		}
		if t.MaxConnAge == 0 {
			t.MaxConnAge = defaultMaxAge
		}
		t.workers = pond.NewPool(handlerWorkers, pond.WithQueueSize(handlerQueueSize), pond.WithNonBlocking(true))
		t.fetchLatency = timeout.Estimator{MinTimeout: callTimeout, InitialTimeout: callTimeout, MaxTimeout: maxFetchWait}
		t.peers = make(map[peerKey]*peerClient)
		t.accepted = make(map[net.Conn]bool)
	})
}

// Serve accepts connections and processes their calls until ctx ends or the listener
// fails. At the end of ctx it closes the listener and all connections, and returns nil.
func (t *Transport) Serve(ctx context.Context, listener net.Listener) error {
	t.init()
	stop := context.AfterFunc(ctx, func() { t.close(listener) })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if !socket.IsTransient(err) {
				return fmt.Errorf("accept peer connection: %w", err)
			}
			t.logf("accept peer connection: %v", err)
			time.Sleep(acceptBackoff)
			continue
		}
		go t.accept(ctx, conn)
	}
}

// logf logs a message about connections.
func (t *Transport) logf(format string, args ...any) {
	if t.Log == nil {
		log.Printf(format, args...)
		return
	}
	t.Log.Printf(format, args...)
}

// close closes the listener and all accepted and dialled connections.
func (t *Transport) close(listener net.Listener) {
	_ = listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.accepted {
		_ = conn.Close()
	}
	for _, p := range t.peers {
		go p.close()
	}
}

// accept serves one accepted connection until it is closed.
func (t *Transport) accept(ctx context.Context, raw net.Conn) {
	secured, err := t.secureAccepted(raw)
	if err != nil {
		_ = raw.Close()
		refusedConnections.Add(1)
		return
	}
	conn := newTimeoutConn(secured, t.IdleTimeout)
	t.track(conn, true)
	defer t.track(conn, false)
	if ctx.Err() != nil {
		_ = conn.Close()
		return
	}
	<-t.newRPC(ctx, conn).DisconnectNotify()
}

// track adds conn to the accepted connections or removes it.
func (t *Transport) track(conn net.Conn, add bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if add {
		t.accepted[conn] = true
		return
	}
	delete(t.accepted, conn)
}

// Call calls the method on the router at addr with the request in, and decodes the
// reply into out. It waits for at most one second.
//
// The error wraps ErrNotSent if the peer's handler has surely not started.
// Otherwise the outcome of a failed call is unknown, unless the handler itself
// returned the error.
func (t *Transport) Call(ctx context.Context, addr, method string, in, out any) error {
	t.init()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p := t.peer(peerKey{addr: addr})
	conn, err := p.conn(ctx, callTimeout)
	if err != nil {
		return fmt.Errorf("call %s at %s: %w: %w", method, addr, ErrNotSent, err)
	}
	start := time.Now()
	err = conn.rpc.Call(ctx, method, in, &reply{out: out})
	if err == nil {
		return nil
	}
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return fmt.Errorf("call %s at %s: %w", method, addr, callError(rpcErr))
	}
	// After a timeout, a connection on which other data has arrived is kept: the
	// connection works and only this call's handler is slow.
	if ctx.Err() == nil || conn.conn.idleSince(start) {
		p.drop(conn)
	}
	return fmt.Errorf("call %s at %s: %w", method, addr, err)
}

// Fetch calls a method whose reply may be large, on a connection of its own, so that other calls do not wait behind
// the reply. The connection must open, and the reply begin, within a time that follows how long earlier ones took. It
// then waits for as long as the reply makes progress, and closes the connection if it gives up, so that the peer stops
// sending. Its errors are those of Call.
func (t *Transport) Fetch(ctx context.Context, addr, method string, in, out any) error {
	t.init()
	limit := t.fetchLatency.Timeout()
	p := t.peer(peerKey{addr: addr, bulk: true})
	dialCtx, cancelDial := context.WithTimeout(ctx, limit)
	defer cancelDial()
	conn, err := p.conn(dialCtx, limit)
	if err != nil {
		if dialCtx.Err() != nil && ctx.Err() == nil {
			t.fetchLatency.ObserveTimeout(limit)
		}
		return fmt.Errorf("fetch %s from %s: %w: %w", method, addr, ErrNotSent, err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := conn.conn.watchReply(limit, func() { cancel(errNoProgress) })
	err = conn.rpc.Call(ctx, method, in, &reply{out: out})
	latency := stop()
	if errors.Is(context.Cause(ctx), errNoProgress) && latency >= limit {
		t.fetchLatency.ObserveTimeout(limit)
	}
	if err == nil {
		t.fetchLatency.ObserveLatency(latency)
		return nil
	}
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return fmt.Errorf("fetch %s from %s: %w", method, addr, callError(rpcErr))
	}
	p.drop(conn)
	return fmt.Errorf("fetch %s from %s: %w", method, addr, errors.Join(context.Cause(ctx), err))
}

// callError wraps an error returned by the peer with ErrNotSent if its code means that
// the handler has not started.
func callError(err *jsonrpc2.Error) error {
	if err.Code == codeNotStarted || err.Code == jsonrpc2.CodeMethodNotFound {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return err
}

// peerKey identifies a connection to another router.
type peerKey struct {
	addr string
	bulk bool // for large replies
}

// peer returns the client of a router and creates it on first use.
func (t *Transport) peer(key peerKey) *peerClient {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[key]
	if !ok {
		p = &peerClient{transport: t, addr: key.addr}
		t.peers[key] = p
	}
	return p
}

// newRPC starts the JSON-RPC protocol on conn. Calls received on it go to the handlers.
func (t *Transport) newRPC(ctx context.Context, conn *timeoutConn) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(conn, boundedCodec{memory: t.Memory})
	var options []jsonrpc2.ConnOpt
	if t.Log != nil {
		options = append(options, jsonrpc2.SetLogger(t.Log))
	}
	return jsonrpc2.NewConn(ctx, stream, poolHandler{transport: t}, options...)
}

// poolHandler runs received calls in the worker pool. It bounds the calls in progress
// and rejects others with codeNotStarted.
type poolHandler struct {
	transport *Transport
}

// Handle queues one received call, or rejects it if the queue is full. A notification
// that finds the queue full is dropped without a reply.
func (h poolHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	handler := jsonrpc2.HandlerWithError(h.transport.handle)
	err := h.transport.workers.Go(func() { handler.Handle(ctx, conn, req) })
	if err == nil || req.Notif {
		return
	}
	_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: codeNotStarted, Message: "too many calls at once"})
}

// handle answers Hello itself and passes other calls to their handlers.
func (t *Transport) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	if req.Method == inner.MethodHello {
		return inner.Hello{ProtocolVersion: inner.ProtocolVersion, Sender: t.Self()}, nil
	}
	h, ok := t.Handlers[req.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: fmt.Sprintf("method %q does not exist", req.Method)}
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	return h(ctx, params)
}
