package ingress

import (
	"bufio"
	"context"
	"log"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rosevalve/internal/protocol/socket"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/forward"
	"rosevalve/internal/workspace/plan"
)

// newRefusingServer starts a server that refuses all requests and keeps their connections
// open.
func newRefusingServer(t testing.TB) (*Server, net.Addr) {
	t.Helper()
	return newServerWith(t, func(*Server) {})
}

// newServerWith starts a server that refuses all requests, after set has changed its fields.
func newServerWith(t testing.TB, set func(s *Server)) (*Server, net.Addr) {
	t.Helper()
	l, err := socket.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &Server{
		ParseRequest: func(*fasthttp.Request, time.Time) (*forward.Request, error) {
			return nil, errors.New("nothing is served")
		},
		WriteError: func(out *fasthttp.Response, refusal *answer.Error, _ string) {
			out.SetStatusCode(refusal.Status)
			out.SetBodyString(refusal.Message)
		},
		Plan:               func() *plan.Plan { return nil },
		ClosingConnections: func() bool { return false },
		OnInvalidRequest:   func(int, error) {},
		OnDenied:           func(err error) { t.Errorf("denied: %v", err) },
		Log:                log.Default(),
	}
	set(s)
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		assert.NilError(t, s.Shutdown(context.Background()))
		assert.NilError(t, <-served)
	})
	return s, l.Addr()
}

// answerTimeout is how long a client waits before an answer counts as lost.
const answerTimeout = 30 * time.Second

// keepAliveClient sends all its requests on one connection.
type keepAliveClient struct {
	conn net.Conn
	r    *bufio.Reader
}

func newKeepAliveClient(t *testing.T, addr net.Addr) *keepAliveClient {
	t.Helper()
	conn, err := net.Dial("tcp4", addr.String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(answerTimeout)))
	return &keepAliveClient{conn: conn, r: bufio.NewReader(conn)}
}

func (c *keepAliveClient) send(t *testing.T) {
	t.Helper()
	_, err := c.conn.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	assert.NilError(t, err)
}

// readAnswer reads an answer and reports whether it has the header Connection: close.
func (c *keepAliveClient) readAnswer(t *testing.T) (last bool) {
	t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp.Close
}

// TestStopAnswersWhatComesOnIdleConnections guards against requests being lost that arrive on
// idle connections as a shutdown begins.
func TestStopAnswersWhatComesOnIdleConnections(t *testing.T) {
	const rounds, clientCount = 8, 20
	for range rounds {
		s, addr := newRefusingServer(t)
		var clients []*keepAliveClient
		for range clientCount {
			c := newKeepAliveClient(t, addr)
			c.send(t)
			assert.Assert(t, !c.readAnswer(t))
			clients = append(clients, c)
		}
		stopped := make(chan error, 1)
		go func() { stopped <- s.Shutdown(context.Background()) }()
		for _, c := range clients {
			c.send(t)
		}
		for _, c := range clients {
			c.readAnswer(t)
		}
		assert.NilError(t, <-stopped)
	}
}

// TestStopEndsIdleConnections checks that a shutdown closes the connections of clients that
// send no further request.
func TestStopEndsIdleConnections(t *testing.T) {
	s, addr := newRefusingServer(t)
	used, fresh := newKeepAliveClient(t, addr), newKeepAliveClient(t, addr)
	used.send(t)
	assert.Assert(t, !used.readAnswer(t))
	assert.NilError(t, s.Shutdown(context.Background()))
	for _, c := range []*keepAliveClient{used, fresh} {
		_, err := c.r.ReadByte()
		assert.ErrorContains(t, err, "EOF")
	}
}
