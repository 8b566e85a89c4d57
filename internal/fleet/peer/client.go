package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"rosevalve/internal/protocol/inner"
)

const (
	defaultIdleTimeout = 30 * time.Second
	defaultMaxAge      = 10 * time.Minute

	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// errBackoff reports that a call was not attempted because the most recent dial of
// the peer failed and the backoff has not expired.
var errBackoff = errors.New("last dial of the peer failed; backing off")

// peerClient keeps one connection to a peer and redials it with exponential backoff.
type peerClient struct {
	transport *Transport
	addr      string

	mu      sync.Mutex    // guards the fields below
	current *rpcConn      // nil if there is no connection
	dialing *pendingDial  // nil if no dial is in progress
	backoff time.Duration // doubled by each failed dial; 0 after a successful one
	retryAt time.Time     // no dial before this time
}

// pendingDial is a dial that concurrent calls share. It goes on if a call ends before it.
type pendingDial struct {
	done chan struct{}
	conn *rpcConn // valid once done is closed, like err
	err  error
}

// rpcConn is one open connection to a peer.
type rpcConn struct {
	rpc      *jsonrpc2.Conn
	conn     *timeoutConn // the connection that rpc reads and writes
	openedAt time.Time
}

// conn returns the current connection if it is usable, and dials otherwise, which takes at most
// the limit. After a failed dial it returns errBackoff for 0.5 to 1.5 times the backoff.
func (p *peerClient) conn(ctx context.Context, limit time.Duration) (*rpcConn, error) {
	current, d, err := p.currentOrDial(ctx, limit)
	if d == nil {
		return current, err
	}
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for the dial: %w", ctx.Err())
	}
}

// currentOrDial returns the current connection if it is usable, and otherwise the dial in progress,
// which it begins if there is none.
func (p *peerClient) currentOrDial(ctx context.Context, limit time.Duration) (*rpcConn, *pendingDial, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.usable():
		return p.current, nil, nil
	case p.dialing != nil:
		return nil, p.dialing, nil
	case time.Now().Before(p.retryAt):
		return nil, nil, errBackoff
	}
	if p.current != nil {
		// Calls in flight on the old connection last at most callTimeout and still get
		// their replies; a large reply that takes longer is fetched again.
		old := p.current
		time.AfterFunc(2*callTimeout, func() { _ = old.rpc.Close() })
		p.current = nil
	}
	p.dialing = &pendingDial{done: make(chan struct{})}
	go p.runDial(context.WithoutCancel(ctx), limit, p.dialing)
	return nil, p.dialing, nil
}

// runDial dials once and wakes the calls that wait for it.
func (p *peerClient) runDial(ctx context.Context, limit time.Duration, d *pendingDial) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	d.conn, d.err = p.dial(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(d.done)
	p.dialing = nil
	if d.err != nil {
		p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
		p.retryAt = time.Now().Add(p.backoff/2 + rand.N(p.backoff))
		return
	}
	p.backoff = 0
	p.current = d.conn
}

// usable reports whether the current connection is open and at most MaxConnAge old. The
// caller holds mu.
func (p *peerClient) usable() bool {
	if p.current == nil || time.Since(p.current.openedAt) > p.transport.MaxConnAge {
		return false
	}
	select {
	case <-p.current.rpc.DisconnectNotify():
		return false
	default:
		return true
	}
}

// dial opens a connection and exchanges Hello messages with the peer. It fails if the
// peer uses another protocol version.
func (p *peerClient) dial(ctx context.Context) (*rpcConn, error) {
	dials.Add(1)
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.addr)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	secured, err := p.transport.secureDialed(ctx, raw, p.addr)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	conn := newTimeoutConn(secured, p.transport.IdleTimeout)
	rpc := p.transport.newRPC(context.WithoutCancel(ctx), conn)
	hello := inner.Hello{ProtocolVersion: inner.ProtocolVersion, Sender: p.transport.Self()}
	var reply inner.Hello
	if err := rpc.Call(ctx, inner.MethodHello, hello, &reply); err != nil {
		_ = rpc.Close()
		return nil, fmt.Errorf("hello: %w", err)
	}
	if reply.ProtocolVersion != inner.ProtocolVersion {
		_ = rpc.Close()
		return nil, fmt.Errorf("peer uses protocol version %d, want %d", reply.ProtocolVersion, inner.ProtocolVersion)
	}
	return &rpcConn{rpc: rpc, conn: conn, openedAt: time.Now()}, nil
}

// drop closes c; if c is the current connection, the next call dials.
func (p *peerClient) drop(c *rpcConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == c {
		p.current = nil
	}
	_ = c.rpc.Close()
}

// close closes the current connection, or that of the dial in progress when it has ended.
func (p *peerClient) close() {
	p.mu.Lock()
	current, d := p.current, p.dialing
	p.mu.Unlock()
	if d != nil {
		<-d.done
		current = d.conn
	}
	if current != nil {
		_ = current.rpc.Close()
	}
}

// secureAccepted performs the TLS handshake on an accepted connection. Without
// credentials it returns raw itself if plaintext is allowed.
func (l *Transport) secureAccepted(raw net.Conn) (net.Conn, error) {
	if l.Credentials == nil {
		return raw, l.checkPlaintext(raw.RemoteAddr().String())
	}
	config, err := l.Credentials.serverConfig()
	if err != nil {
		return nil, err
	}
	conn := tls.Server(raw, config)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("TLS handshake: %w", err)
	}
	return conn, nil
}

// secureDialed performs the TLS handshake on a connection dialled to addr. Without
// credentials it returns raw itself if plaintext is allowed.
func (l *Transport) secureDialed(ctx context.Context, raw net.Conn, addr string) (net.Conn, error) {
	if l.Credentials == nil {
		return raw, l.checkPlaintext(addr)
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, fmt.Errorf("address %q: %w", addr, err)
	}
	config, err := l.Credentials.clientConfig(host)
	if err != nil {
		return nil, err
	}
	conn := tls.Client(raw, config)
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("TLS handshake: %w", err)
	}
	return conn, nil
}

// checkPlaintext returns ErrPlaintext if a plaintext connection with addr is not allowed.
// Plaintext to loopback addresses is always allowed.
func (l *Transport) checkPlaintext(addr string) error {
	if l.AllowPlaintext {
		return nil
	}
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil || !parsed.Addr().IsLoopback() {
		return fmt.Errorf("%s: %w", addr, ErrPlaintext)
	}
	return nil
}
