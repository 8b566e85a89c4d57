package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// largeBody returns a body that is large enough to be written in the background.
func largeBody() []byte { return make([]byte, 64*asyncWriteThreshold) }

// sendBody sends a request that uses body without copying it.
func (tg *testTarget) sendBody(ctx context.Context, body []byte) (*Response, error) {
	conn, err := tg.pool.Acquire(ctx, false)
	if err != nil {
		return nil, err
	}
	c := call("a", "")
	c.Request.SetBodyRaw(body)
	return conn.Send(ctx, c)
}

// overwrite writes to the body as the HTTP library does when it reuses the buffer of a
// request that has ended. The race detector reports a write in the background that still
// reads the body.
func overwrite(body []byte) {
	for i := range body {
		body[i] = 'x'
	}
}

// TestEndBeforeRequestIsWritten checks that an answer does not end while its request is
// still being written, since the buffer of the body may be reused afterwards.
func TestEndBeforeRequestIsWritten(t *testing.T) {
	responses := map[string]string{
		"whole":   okResponse("a"),
		"foreign": okResponse("b"),
		"cut":     "HTTP/1.1 200 OK\r\n" + headerID + ": a\r\nContent-Length: 9\r\n\r\nok",
	}
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			tg := newTarget(t, func(c net.Conn, _ *bufio.Reader) { _, _ = io.WriteString(c, response) })
			dial := tg.pool.Dial
			tg.pool.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
				c, err := dial(ctx, addr)
				return &blockedWriter{Conn: c, closed: make(chan struct{})}, err
			}
			body := largeBody()
			if a, err := tg.sendBody(t.Context(), body); err == nil {
				a.Release()
			}
			overwrite(body)
		})
	}
}

// TestGivenUpBeforeRequestIsWritten cancels a request that is still being written to a
// target that does not read. No write may read the body after Send has returned.
func TestGivenUpBeforeRequestIsWritten(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	tg := newTarget(t, func(_ net.Conn, br *bufio.Reader) {
		cancel()
		_, _ = br.Peek(1 << 20)
	})
	body := make([]byte, 32<<20)
	_, err := tg.sendBody(ctx, body)
	assert.Assert(t, err != nil)
	overwrite(body)
}

// blockedWriter is a connection whose writes block until it is closed and read their
// buffer only then.
type blockedWriter struct {
	net.Conn
	once   sync.Once
	closed chan struct{}
}

// Write blocks until the connection is closed, then reads p and fails.
func (c *blockedWriter) Write(p []byte) (int, error) {
	<-c.closed
	return copy(make([]byte, len(p)), p), net.ErrClosed
}

// Close unblocks the writes.
func (c *blockedWriter) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
