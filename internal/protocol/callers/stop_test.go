package callers

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"rosevalve/internal/protocol/socket"
)

const (
	smallBody = 1000     // largest body of a request, in bytes
	largeBody = 64 << 10 // of an answer, in bytes; more than a caller's receive buffer in these tests holds
)

// startServer starts a server that gives the answer that handle writes. It refuses bodies above smallBody.
func startServer(t *testing.T, handle fasthttp.RequestHandler) (*Server, string) {
	t.Helper()
	s := newServer(t, handle)
	return s, serve(t, s)
}

// newServer returns the server that startServer starts.
func newServer(t *testing.T, handle fasthttp.RequestHandler) *Server {
	return &Server{
		HTTP: &fasthttp.Server{
			Handler:            handle,
			MaxRequestBodySize: smallBody,
			CloseOnShutdown:    true,
			ReduceMemoryUsage:  true,
			ErrorHandler: func(ctx *fasthttp.RequestCtx, _ error) {
				ctx.Conn().(*Conn).LingerOnClose()
				ctx.Error("too large", fasthttp.StatusRequestEntityTooLarge)
			},
		},
		Timeouts: noTimeouts,
		OnDenied: func(err error) { t.Errorf("denied: %v", err) },
		Log:      log.Default(),
	}
}

// serve starts a server and returns its address.
func serve(t *testing.T, s *Server) string {
	t.Helper()
	l, err := socket.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		assert.NilError(t, s.Shutdown(context.Background()))
		assert.NilError(t, <-served)
	})
	return l.Addr().String()
}

// dialSlow connects with a receive buffer that holds only a part of a large answer.
func dialSlow(t *testing.T, addr string) net.Conn {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) { optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4096) })
		assert.NilError(t, optErr)
		return err
	}}
	c, err := d.Dial("tcp4", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(answerTimeout)))
	return c
}

// shutDown starts a shutdown. The channel yields its result.
func shutDown(s *Server) <-chan error {
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	return stopped
}

// TestStopWaitsForRefusalsOnTheirWay guards against a process that ends, and resets the connection, while a
// refusal is still being delivered to a caller that sends.
func TestStopWaitsForRefusalsOnTheirWay(t *testing.T) {
	s, addr := startServer(t, func(*fasthttp.RequestCtx) {})
	c := dialSlow(t, addr)
	_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 100*smallBody)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
	stopped := shutDown(s)
	select {
	case err := <-stopped:
		t.Fatalf("stopped with the caller still connected: %v", err)
	case <-time.After(600 * time.Millisecond):
	}
	assert.NilError(t, c.Close())
	select {
	case err := <-stopped:
		assert.NilError(t, err)
	case <-time.After(answerTimeout):
		t.Error("the shutdown does not end")
	}
}

// TestEndlessSenderHoldsUpNoStop guards against a stop that waits for ever for a caller that goes on sending a request
// which was refused.
func TestEndlessSenderHoldsUpNoStop(t *testing.T) {
	for name, pause := range map[string]time.Duration{"fast": 0, "slow": 200 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, addr := startServer(t, func(*fasthttp.RequestCtx) {})
			c := dialSlow(t, addr)
			_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 1<<40)
			assert.NilError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
			go func() {
				for err := error(nil); err == nil; time.Sleep(pause) {
					_, err = io.WriteString(c, strings.Repeat("x", smallBody))
				}
			}()
			select {
			case err := <-shutDown(s):
				assert.NilError(t, err)
			case <-time.After(answerTimeout):
				t.Error("the shutdown does not end")
			}
		})
	}
}

// TestUnreadBytesDestroyNoAnswer guards against a connection that is closed with unread bytes, so that the
// system resets it and drops the part of the answer that the caller has not received.
func TestUnreadBytesDestroyNoAnswer(t *testing.T) {
	for name, watching := range map[string]bool{"plain": false, "watched": true} {
		t.Run(name, func(t *testing.T) {
			extraSent := make(chan bool)
			_, addr := startServer(t, func(ctx *fasthttp.RequestCtx) {
				if watching {
					ctx.Conn().(*Conn).Watch(func() {})
				}
				<-extraSent
				ctx.SetConnectionClose()
				ctx.SetBodyString(strings.Repeat("x", largeBody))
			})
			c := dialSlow(t, addr)
			_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
			assert.NilError(t, err)
			// Some clients end a body with a line of its own, which its length leaves out.
			time.Sleep(50 * time.Millisecond)
			_, err = io.WriteString(c, "\r\n")
			assert.NilError(t, err)
			extraSent <- true
			time.Sleep(100 * time.Millisecond)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, len(body), largeBody)
		})
	}
}

// TestStopAnswersTheFirstRequestOfANewConnection guards against a connection being closed before the first
// packet after its handshake, which was lost, has been sent again.
func TestStopAnswersTheFirstRequestOfANewConnection(t *testing.T) {
	s, addr := startServer(t, func(*fasthttp.RequestCtx) {})
	c := dialSlow(t, addr)
	time.Sleep(50 * time.Millisecond)
	stopped := shutDown(s)
	time.Sleep(500 * time.Millisecond)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Assert(t, resp.Close)
	assert.NilError(t, c.Close())
	assert.NilError(t, <-stopped)
}

// TestCutOffEndsBlockedWrites guards against a request that outlives the cut-off, since its caller does not
// read, and against one whose answer is lost by the cut-off that causes it.
func TestCutOffEndsBlockedWrites(t *testing.T) {
	cut, writeEnded := make(chan bool), make(chan bool)
	s, addr := startServer(t, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/waits" {
			<-cut
			return
		}
		conn := ctx.Conn()
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			var err error
			for err == nil {
				_ = conn.SetWriteDeadline(time.Now().Add(answerTimeout))
				_, err = w.WriteString(strings.Repeat("x", largeBody))
			}
			close(writeEnded)
		})
	})
	s.CutOff = func() error {
		close(cut)
		return nil
	}
	waiting := dialSlow(t, addr)
	for c, path := range map[net.Conn]string{dialSlow(t, addr): "/blocks", waiting: "/waits"} {
		_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
		assert.NilError(t, err)
	}
	time.Sleep(200 * time.Millisecond)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.Shutdown(ended) // reports that requests were in flight
	select {
	case <-writeEnded:
	case <-time.After(answerTimeout / 2):
		t.Error("the write goes on")
	}
	resp, err := http.ReadResponse(bufio.NewReader(waiting), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// TestServeTwiceIsRefused guards against a handler that is wrapped twice, and against a second listener that replaces
// the one which a shutdown is to close.
func TestServeTwiceIsRefused(t *testing.T) {
	s := newServer(t, func(*fasthttp.RequestCtx) {})
	addr := serve(t, s)
	conn := dialSlow(t, addr)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	_, err = http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	second, err := socket.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(second) }()
	select {
	case err := <-ended:
		assert.ErrorContains(t, err, "Serve was called before")
	case <-time.After(time.Second):
		t.Error("the second listener is served")
	}
	assert.NilError(t, second.Close())
}
