package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"rosevalve/internal/protocol/inner"
)

const (
	dialTimeout = 500 * time.Millisecond
	callTimeout = time.Second
)

// Handler answers one call; params is the JSON of the method's type.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Links serves and calls the inner protocol.
type Links struct {
	// Self describes this router; its state may change between calls.
	Self func() inner.Member
	// Handlers answer the methods; they are set before Serve.
	Handlers map[string]Handler

	mu    sync.Mutex // guards conns
	conns map[string]*jsonrpc2.Conn
}

// Serve accepts connections until the listener is closed.
func (l *Links) Serve(ctx context.Context, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("accept peer: %w", err)
		}
		l.open(ctx, conn)
	}
}

// Call sends the method to the peer and decodes its answer into out.
func (l *Links) Call(ctx context.Context, addr, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := l.conn(ctx, addr)
	if err != nil {
		return fmt.Errorf("call %s at %s: %w", method, addr, err)
	}
	if err := conn.Call(ctx, method, in, out); err != nil {
		l.drop(addr, conn)
		return fmt.Errorf("call %s at %s: %w", method, addr, err)
	}
	return nil
}

// conn returns the connection to the peer, opening it if there is none.
func (l *Links) conn(ctx context.Context, addr string) (*jsonrpc2.Conn, error) {
	l.mu.Lock()
	conn, ok := l.conns[addr]
	l.mu.Unlock()
	if ok {
		return conn, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	conn = l.open(context.WithoutCancel(ctx), raw)
	hello := inner.Hello{ProtocolVersion: inner.ProtocolVersion, Sender: l.Self()}
	var theirs inner.Hello
	if err := conn.Call(ctx, inner.MethodHello, hello, &theirs); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("greet: %w", err)
	}
	if theirs.ProtocolVersion != inner.ProtocolVersion {
		_ = conn.Close()
		return nil, fmt.Errorf("peer speaks protocol version %d, not %d", theirs.ProtocolVersion, inner.ProtocolVersion)
	}
	return l.keep(addr, conn), nil
}

// keep stores the connection, unless another call has stored one first.
func (l *Links) keep(addr string, conn *jsonrpc2.Conn) *jsonrpc2.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if other, ok := l.conns[addr]; ok {
		_ = conn.Close()
		return other
	}
	if l.conns == nil {
		l.conns = make(map[string]*jsonrpc2.Conn)
	}
	l.conns[addr] = conn
	return conn
}

func (l *Links) drop(addr string, conn *jsonrpc2.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns[addr] == conn {
		delete(l.conns, addr)
	}
	_ = conn.Close()
}

func (l *Links) open(ctx context.Context, conn net.Conn) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{})
	handler := jsonrpc2.HandlerWithError(l.handle)
	return jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(handler))
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
