package peer

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"rosevalve/internal/protocol/inner"
)

const (
	methodEcho   = "echo"
	shortTimeout = 100 * time.Millisecond
)

func echo(_ context.Context, params json.RawMessage) (any, error) { return params, nil }

// startServer serves l on a loopback address and returns the address.
func startServer(t *testing.T, l *Transport) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l.Self = func() inner.Member { return inner.Member{ID: "a"} }
	if l.Handlers == nil {
		l.Handlers = map[string]Handler{methodEcho: echo}
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Serve(ctx, listener) }()
	t.Cleanup(func() {
		stop()
		assert.NilError(t, <-done)
	})
	return listener.Addr().String()
}

func newClient(credentials *Credentials) *Transport {
	return &Transport{Self: func() inner.Member { return inner.Member{ID: "b"} }, Credentials: credentials}
}

func assertEcho(t *testing.T, l *Transport, addr string) {
	t.Helper()
	var out string
	assert.NilError(t, l.Call(context.Background(), addr, methodEcho, "x", &out))
	assert.Equal(t, out, "x")
}

// proxy forwards TCP connections and can make the connections open at a time drop all
// further data without closing them.
type proxy struct {
	serverAddr string

	mu    sync.Mutex // guards muted
	muted bool       // connections that carry data while it is set drop all data from then on
}

// forward copies from src to dst until src is closed. It sets *dropping once data
// arrives while the proxy is muted, and drops the data from then on.
func (p *proxy) forward(dst, src net.Conn, dropping *bool) {
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		if err != nil {
			_ = dst.Close()
			return
		}
		p.mu.Lock()
		*dropping = *dropping || p.muted
		drop := *dropping
		p.mu.Unlock()
		if !drop {
			_, _ = dst.Write(buf[:n])
		}
	}
}

func (p *proxy) start(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			a, err := listener.Accept()
			if err != nil {
				return
			}
			b, err := net.Dial("tcp", p.serverAddr)
			if err != nil {
				return
			}
			dropping := new(bool)
			go p.forward(a, b, dropping)
			go p.forward(b, a, dropping)
		}
	}()
	return listener.Addr().String()
}

func (p *proxy) setMuted(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.muted = on
}

// TestEmptyReplyIsNoAnswer guards against a reply that says nothing being taken for an acknowledgement.
func TestEmptyReplyIsNoAnswer(t *testing.T) {
	empty := func(context.Context, json.RawMessage) (any, error) { return nil, nil }
	addr := startServer(t, &Transport{Handlers: map[string]Handler{methodEcho: empty}})
	client := newClient(nil)
	for name, call := range map[string]func(context.Context, string, string, any, any) error{"call": client.Call, "fetch": client.Fetch} {
		t.Run(name, func(t *testing.T) {
			err := call(t.Context(), addr, methodEcho, "x", &inner.TransferAck{})
			assert.ErrorIs(t, err, errEmptyReply)
			assert.Assert(t, !errors.Is(err, ErrNotSent))
		})
	}
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	p := &proxy{serverAddr: startServer(t, &Transport{})}
	addr := p.start(t)
	client := newClient(nil)
	assertEcho(t, client, addr)
	p.setMuted(true)
	ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
	defer cancel()
	var out string
	assert.Assert(t, client.Call(ctx, addr, methodEcho, "x", &out) != nil)
	p.setMuted(false) // the old connection keeps dropping data
	assertEcho(t, client, addr)
}

// TestCallEndsBesideASlowDial guards against a call that waits beyond its own time for the dial of
// another one, to a router that is silent.
func TestCallEndsBesideASlowDial(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	client, addr := newClient(nil), listener.Addr().String()
	var calls sync.WaitGroup
	calls.Go(func() { assert.Check(t, client.Call(context.Background(), addr, methodEcho, 1, nil) != nil) })
	_, err = listener.Accept() // The dial of the first call has begun.
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
	defer cancel()
	start := time.Now()
	assert.Assert(t, errors.Is(client.Call(ctx, addr, methodEcho, 1, nil), ErrNotSent))
	assert.Assert(t, time.Since(start) < callTimeout/2, "ended after %v", time.Since(start))
	calls.Wait()
}

func TestCallThatWasNotBegun(t *testing.T) {
	addr := startServer(t, &Transport{})
	client := newClient(nil)
	ctx := context.Background()
	t.Run("unknown method", func(t *testing.T) {
		assert.Assert(t, errors.Is(client.Call(ctx, addr, "none", 1, nil), ErrNotSent))
		assertEcho(t, client, addr)
	})
	t.Run("nobody listens, and a backoff after that", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		closedAddr := listener.Addr().String()
		assert.NilError(t, listener.Close())
		assert.Assert(t, errors.Is(client.Call(ctx, closedAddr, methodEcho, 1, nil), ErrNotSent))
		client.peer(peerKey{addr: closedAddr}).retryAt = time.Now().Add(time.Hour)
		assert.Assert(t, errors.Is(client.Call(ctx, closedAddr, methodEcho, 1, nil), errBackoff))
	})
}

func TestTooLargeMessageEndsTheConnection(t *testing.T) {
	addr := startServer(t, &Transport{})
	client := newClient(nil)
	var out string
	err := client.Call(context.Background(), addr, methodEcho, strings.Repeat("x", maxMessageSize+1), &out)
	assert.Assert(t, err != nil)
	assertEcho(t, client, addr)
}

func TestConnectionInClear(t *testing.T) {
	const remoteAddr = "10.0.0.1:7101"
	assert.NilError(t, (&Transport{}).checkPlaintext("127.0.0.1:7101"))
	assert.Assert(t, errors.Is((&Transport{}).checkPlaintext(remoteAddr), ErrPlaintext))
	assert.NilError(t, (&Transport{AllowPlaintext: true}).checkPlaintext(remoteAddr))
}

func TestOldConnectionIsReplaced(t *testing.T) {
	addr := startServer(t, &Transport{})
	client := newClient(nil)
	assertEcho(t, client, addr)
	first := client.peer(peerKey{addr: addr}).current
	first.openedAt = first.openedAt.Add(-2 * client.MaxConnAge)
	assertEcho(t, client, addr)
	assert.Assert(t, client.peer(peerKey{addr: addr}).current != first)
}

func TestIdleConnectionEnds(t *testing.T) {
	a, b := net.Pipe()
	t.Cleanup(func() { _ = b.Close() })
	conn := newTimeoutConn(a, time.Millisecond)
	_, err := io.ReadFull(conn, make([]byte, 1))
	var timeout net.Error
	assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout())
}

// exhaustedListener has no descriptors for its first connections.
type exhaustedListener struct {
	net.Listener
	failures int
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestLackOfDescriptorsPasses guards against a router that exits since its callers have used up its descriptors.
func TestLackOfDescriptorsPasses(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	server := newClient(nil)
	server.Handlers = map[string]Handler{methodEcho: echo}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, &exhaustedListener{Listener: l, failures: 3}) }()
	assertEcho(t, newClient(nil), l.Addr().String())
	stop()
	assert.NilError(t, <-ended)
}
