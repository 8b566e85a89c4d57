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
	defaultIdle   = 30 * time.Second
	defaultMaxAge = 10 * time.Minute

	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// errBackoff reports that the last dial failed a short while ago.
var errBackoff = errors.New("peer was not reached a short while ago")

// peerLink is the connection to one peer.
type peerLink struct {
	links *Links
	addr  string

	mu      sync.Mutex // guards the fields below; held while dialling, so that one call dials
	current *link
	backoff time.Duration
	retryAt time.Time
}

// link is one open connection.
type link struct {
	rpc    *jsonrpc2.Conn
	raw    *countedConn
	opened time.Time
}

// conn returns the open connection, or dials.
func (p *peerLink) conn(ctx context.Context) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usable() {
		return p.current, nil
	}
	if time.Now().Before(p.retryAt) {
		return nil, errBackoff
	}
	if p.current != nil {
		// Calls in flight on the old connection still get their answers.
		old := p.current
		time.AfterFunc(2*callTimeout, func() { _ = old.rpc.Close() })
		p.current = nil
	}
	fresh, err := p.dial(ctx)
	if err != nil {
		p.backoff = min(max(2*p.backoff, firstBackoff), maxBackoff)
		p.retryAt = time.Now().Add(p.backoff/2 + rand.N(p.backoff))
		return nil, err
	}
	p.backoff = 0
	p.current = fresh
	return fresh, nil
}

// usable reports whether the connection is open and young enough. The caller holds mu.
func (p *peerLink) usable() bool {
	if p.current == nil || time.Since(p.current.opened) > p.links.MaxAge {
		return false
	}
	select {
	case <-p.current.rpc.DisconnectNotify():
		return false
	default:
		return true
	}
}

// dial opens a connection and checks who answers.
func (p *peerLink) dial(ctx context.Context) (*link, error) {
	dials.Add(1)
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	secured, err := p.links.secureClient(ctx, raw, p.addr)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	conn := newConn(secured, p.links.IdleTimeout)
	rpc := p.links.open(context.WithoutCancel(ctx), conn)
	hello := inner.Hello{ProtocolVersion: inner.ProtocolVersion, Sender: p.links.Self()}
	var theirs inner.Hello
	if err := rpc.Call(ctx, inner.MethodHello, hello, &theirs); err != nil {
		_ = rpc.Close()
		return nil, fmt.Errorf("greet: %w", err)
	}
	if theirs.ProtocolVersion != inner.ProtocolVersion {
		_ = rpc.Close()
		return nil, fmt.Errorf("peer speaks protocol version %d, not %d", theirs.ProtocolVersion, inner.ProtocolVersion)
	}
	return &link{rpc: rpc, raw: conn, opened: time.Now()}, nil
}

// drop closes the connection, so that the next call dials.
func (p *peerLink) drop(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == l {
		p.current = nil
	}
	_ = l.rpc.Close()
}

func (p *peerLink) shut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil {
		_ = p.current.rpc.Close()
	}
}

// secure prepares an accepted connection.
func (l *Links) secure(raw net.Conn) (net.Conn, error) {
	if l.Credentials == nil {
		return raw, l.checkClear(raw.RemoteAddr().String())
	}
	config, err := l.Credentials.serverConfig()
	if err != nil {
		return nil, err
	}
	conn := tls.Server(raw, config)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("TLS handshake: %w", err)
	}
	return conn, nil
}

// secureClient prepares a dialled connection.
func (l *Links) secureClient(ctx context.Context, raw net.Conn, addr string) (net.Conn, error) {
	if l.Credentials == nil {
		return raw, l.checkClear(addr)
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

// checkClear refuses a connection in clear that leaves the machine.
func (l *Links) checkClear(addr string) error {
	if l.AllowClear {
		return nil
	}
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil || !parsed.Addr().IsLoopback() {
		return fmt.Errorf("%s: %w", addr, ErrClear)
	}
	return nil
}
