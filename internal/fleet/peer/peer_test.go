package peer

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"rosevalve/internal/protocol/inner"
)

const (
	methodEcho = "echo"
	shortCall  = 100 * time.Millisecond
)

func echo(_ context.Context, params json.RawMessage) (any, error) { return params, nil }

// serve runs links on loopback and returns their address.
func serve(t *testing.T, l *Links) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l.Self = func() inner.Member { return inner.Member{ID: "a"} }
	l.Handlers = map[string]Handler{methodEcho: echo}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Serve(ctx, listener) }()
	t.Cleanup(func() {
		stop()
		assert.NilError(t, <-done)
	})
	return listener.Addr().String()
}

func newClient(credentials *Credentials) *Links {
	return &Links{Self: func() inner.Member { return inner.Member{ID: "b"} }, Credentials: credentials}
}

func assertAnswers(t *testing.T, l *Links, addr string) {
	t.Helper()
	var out string
	assert.NilError(t, l.Call(context.Background(), addr, methodEcho, "x", &out))
	assert.Equal(t, out, "x")
}

// proxy forwards connections; those that it has forwarded can go silent.
type proxy struct {
	to string

	mu    sync.Mutex // guards muted
	muted bool
}

// Write drops what a muted proxy would forward.
func (p *proxy) forward(dst, src net.Conn, lost *bool) {
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		if err != nil {
			_ = dst.Close()
			return
		}
		p.mu.Lock()
		*lost = *lost || p.muted
		drop := *lost
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
			b, err := net.Dial("tcp", p.to)
			if err != nil {
				return
			}
			lost := new(bool)
			go p.forward(a, b, lost)
			go p.forward(b, a, lost)
		}
	}()
	return listener.Addr().String()
}

func (p *proxy) mute(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.muted = on
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	p := &proxy{to: serve(t, &Links{})}
	addr := p.start(t)
	client := newClient(nil)
	assertAnswers(t, client, addr)
	p.mute(true)
	ctx, cancel := context.WithTimeout(context.Background(), shortCall)
	defer cancel()
	var out string
	assert.Assert(t, client.Call(ctx, addr, methodEcho, "x", &out) != nil)
	p.mute(false) // the old connection stays silent for good
	assertAnswers(t, client, addr)
}

func TestCallThatWasNotBegun(t *testing.T) {
	addr := serve(t, &Links{})
	client := newClient(nil)
	ctx := context.Background()
	t.Run("unknown method", func(t *testing.T) {
		assert.Assert(t, errors.Is(client.Call(ctx, addr, "none", 1, nil), ErrNotSent))
		assertAnswers(t, client, addr)
	})
	t.Run("nobody listens, and a backoff after that", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		dead := listener.Addr().String()
		assert.NilError(t, listener.Close())
		assert.Assert(t, errors.Is(client.Call(ctx, dead, methodEcho, 1, nil), ErrNotSent))
		client.peer(dead).retryAt = time.Now().Add(time.Hour)
		assert.Assert(t, errors.Is(client.Call(ctx, dead, methodEcho, 1, nil), errBackoff))
	})
}

func TestTooLargeMessageEndsTheConnection(t *testing.T) {
	addr := serve(t, &Links{})
	client := newClient(nil)
	var out string
	err := client.Call(context.Background(), addr, methodEcho, strings.Repeat("x", maxMessage+1), &out)
	assert.Assert(t, err != nil)
	assertAnswers(t, client, addr)
}

func TestConnectionInClear(t *testing.T) {
	const far = "10.0.0.1:7101"
	assert.NilError(t, (&Links{}).checkClear("127.0.0.1:7101"))
	assert.Assert(t, errors.Is((&Links{}).checkClear(far), ErrClear))
	assert.NilError(t, (&Links{AllowClear: true}).checkClear(far))
}

func TestOldConnectionIsReplaced(t *testing.T) {
	addr := serve(t, &Links{})
	client := newClient(nil)
	assertAnswers(t, client, addr)
	first := client.peer(addr).current
	first.opened = first.opened.Add(-2 * client.MaxAge)
	assertAnswers(t, client, addr)
	assert.Assert(t, client.peer(addr).current != first)
}

func TestIdleConnectionEnds(t *testing.T) {
	a, b := net.Pipe()
	t.Cleanup(func() { _ = b.Close() })
	conn := newConn(a, time.Millisecond)
	_, err := io.ReadFull(conn, make([]byte, 1))
	var timeout net.Error
	assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout())
}
