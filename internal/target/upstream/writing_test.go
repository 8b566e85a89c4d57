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

// largeBody returns a body that is written while its answer is read.
func largeBody() []byte { return make([]byte, 64*writeApart) }

// sendBody sends a request whose body is the slice itself.
func (tg *target) sendBody(ctx context.Context, body []byte) (*Answer, error) {
	line, err := tg.pool.Line(ctx, false)
	if err != nil {
		return nil, err
	}
	c := call("a", "")
	c.Request.SetBodyRaw(body)
	return line.Send(ctx, c)
}

// overwrite does what the HTTP library does with a caller's buffer once the request has
// ended. The race detector tells if the request is still read.
func overwrite(body []byte) {
	for i := range body {
		body[i] = 'x'
	}
}

// TestEndBeforeRequestIsWritten ends answers whose requests are still being written.
func TestEndBeforeRequestIsWritten(t *testing.T) {
	answers := map[string]string{
		"whole":   ok("a"),
		"foreign": ok("b"),
		"cut":     "HTTP/1.1 200 OK\r\n" + headerID + ": a\r\nContent-Length: 9\r\n\r\nok",
	}
	for name, text := range answers {
		t.Run(name, func(t *testing.T) {
			tg := newTarget(t, func(c net.Conn, _ *bufio.Reader) { _, _ = io.WriteString(c, text) })
			dial := tg.pool.Dial
			tg.pool.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
				c, err := dial(ctx, addr)
				return &slowWriter{Conn: c, closed: make(chan struct{})}, err
			}
			body := largeBody()
			if a, err := tg.sendBody(t.Context(), body); err == nil {
				a.Keep()
			}
			overwrite(body)
		})
	}
}

// TestGivenUpBeforeRequestIsWritten lets the caller leave while its request is written to
// a target that does not read.
func TestGivenUpBeforeRequestIsWritten(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	tg := newTarget(t, func(_ net.Conn, br *bufio.Reader) {
		leave()
		_, _ = br.Peek(1 << 20)
	})
	body := make([]byte, 32<<20)
	_, err := tg.sendBody(ctx, body)
	assert.Assert(t, err != nil)
	overwrite(body)
}

// slowWriter is a connection whose writes last until it is closed and still read what
// they write then.
type slowWriter struct {
	net.Conn
	once   sync.Once
	closed chan struct{}
}

// Write waits for the end of the connection.
func (c *slowWriter) Write(p []byte) (int, error) {
	<-c.closed
	return copy(make([]byte, len(p)), p), net.ErrClosed
}

// Close lets the writes go on.
func (c *slowWriter) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
