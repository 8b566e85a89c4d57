package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"rosevalve/internal/protocol/inner"
)

const (
	dialTimeout = 500 * time.Millisecond
	callTimeout = time.Second

	handlerWorkers = 64
	handlerQueue   = 1024
)

// codeNotRun is the JSON-RPC error code of a call that this router has not begun.
const codeNotRun = -32000

// ErrNotSent reports that a call did not reach the peer's handler.
var ErrNotSent = errors.New("call not sent")

// ErrClear reports a connection in clear beyond loopback that the settings do not allow.
var ErrClear = errors.New("connection without TLS to another machine")

// Handler answers one call; params is the JSON of the method's type.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Links serves and calls the inner protocol.
type Links struct {
	// Self describes this router; its state may change between calls.
	Self func() inner.Member
	// Handlers answer the methods; they are set before Serve.
	Handlers map[string]Handler
	// Credentials secure the connections; without them they are in clear.
	Credentials *Credentials
	// AllowClear permits connections in clear beyond loopback.
	AllowClear bool
	// Log receives what the RPC library tells of connections; nil stands for standard error.
	Log jsonrpc2.Logger
	// IdleTimeout closes a connection on which nothing arrives.
	IdleTimeout time.Duration
	// MaxAge is the age at which a connection is replaced.
	MaxAge time.Duration

	once sync.Once
	pool pond.Pool

	mu       sync.Mutex // guards the fields below
	peers    map[string]*peerLink
	accepted map[net.Conn]bool
}

func (l *Links) init() {
	l.once.Do(func() {
		if l.IdleTimeout == 0 {
			l.IdleTimeout = defaultIdle
		}
		if l.MaxAge == 0 {
			l.MaxAge = defaultMaxAge
		}
		l.pool = pond.NewPool(handlerWorkers, pond.WithQueueSize(handlerQueue), pond.WithNonBlocking(true))
		l.peers = make(map[string]*peerLink)
		l.accepted = make(map[net.Conn]bool)
	})
}

// Serve accepts connections until ctx ends or the listener is closed.
func (l *Links) Serve(ctx context.Context, listener net.Listener) error {
	l.init()
	stop := context.AfterFunc(ctx, func() { l.close(listener) })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("accept peer: %w", err)
		}
		go l.accept(ctx, conn)
	}
}

// close ends the listener and all connections.
func (l *Links) close(listener net.Listener) {
	_ = listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.accepted {
		_ = conn.Close()
	}
	for _, p := range l.peers {
		go p.shut()
	}
}

// accept serves one connection of a peer until it ends.
func (l *Links) accept(ctx context.Context, raw net.Conn) {
	secured, err := l.secure(raw)
	if err != nil {
		_ = raw.Close()
		refusedConnections.Add(1)
		return
	}
	conn := newConn(secured, l.IdleTimeout)
	l.track(conn, true)
	defer l.track(conn, false)
	if ctx.Err() != nil {
		_ = conn.Close()
		return
	}
	<-l.open(ctx, conn).DisconnectNotify()
}

func (l *Links) track(conn net.Conn, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if on {
		l.accepted[conn] = true
		return
	}
	delete(l.accepted, conn)
}

// Call sends the method to the peer and decodes its answer into out.
//
// The error is ErrNotSent if the peer has not begun to handle the call.
func (l *Links) Call(ctx context.Context, addr, method string, in, out any) error {
	l.init()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p := l.peer(addr)
	conn, err := p.conn(ctx)
	if err != nil {
		return fmt.Errorf("call %s at %s: %w: %w", method, addr, ErrNotSent, err)
	}
	began := time.Now()
	err = conn.rpc.Call(ctx, method, in, out)
	if err == nil {
		return nil
	}
	var refused *jsonrpc2.Error
	if errors.As(err, &refused) {
		return fmt.Errorf("call %s at %s: %w", method, addr, refusal(refused))
	}
	// A connection on which other answers arrive only has a slow handler behind it.
	if ctx.Err() == nil || conn.raw.silentSince(began) {
		p.drop(conn)
	}
	return fmt.Errorf("call %s at %s: %w", method, addr, err)
}

// refusal marks the peer's errors that say that the handler has not begun.
func refusal(err *jsonrpc2.Error) error {
	if err.Code == codeNotRun || err.Code == jsonrpc2.CodeMethodNotFound {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return err
}

func (l *Links) peer(addr string) *peerLink {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.peers[addr]
	if !ok {
		p = &peerLink{links: l, addr: addr}
		l.peers[addr] = p
	}
	return p
}

// open speaks the protocol on a connection.
func (l *Links) open(ctx context.Context, conn *countedConn) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(conn, boundedCodec{})
	var options []jsonrpc2.ConnOpt
	if l.Log != nil {
		options = append(options, jsonrpc2.SetLogger(l.Log))
	}
	return jsonrpc2.NewConn(ctx, stream, poolHandler{links: l}, options...)
}

// poolHandler runs calls in the pool, and refuses them while its queue is full.
type poolHandler struct {
	links *Links
}

// Handle answers one request of a peer.
func (h poolHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	handler := jsonrpc2.HandlerWithError(h.links.handle)
	err := h.links.pool.Go(func() { handler.Handle(ctx, conn, req) })
	if err == nil || req.Notif {
		return
	}
	_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: codeNotRun, Message: "too many calls at once"})
}

func (l *Links) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	if req.Method == inner.MethodHello {
		return inner.Hello{ProtocolVersion: inner.ProtocolVersion, Sender: l.Self()}, nil
	}
	h, ok := l.Handlers[req.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: fmt.Sprintf("method %q does not exist", req.Method)}
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	return h(ctx, params)
}
