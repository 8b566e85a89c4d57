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

// newRefuser serves callers whose requests are all refused, which ends no connection.
func newRefuser(t *testing.T) (*Server, net.Addr) {
	t.Helper()
	l, err := socket.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	s := &Server{
		Request: func(*fasthttp.Request, time.Time) (*forward.Request, error) {
			return nil, errors.New("nothing is served")
		},
		Refuse:   func(out *fasthttp.Response, refusal *answer.Error, _ string) { out.SetStatusCode(refusal.Status) },
		Plan:     func() *plan.Plan { return nil },
		Leaving:  func() bool { return false },
		OnUnread: func(int, error) {},
		Log:      log.Default(),
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		assert.NilError(t, s.Shutdown(context.Background()))
		assert.NilError(t, <-served)
	})
	return s, l.Addr()
}

// hangs is when an answer that has not come counts as lost.
const hangs = 30 * time.Second

// keptCaller is a caller that sends all its requests on one connection.
type keptCaller struct {
	conn net.Conn
	r    *bufio.Reader
}

func newKeptCaller(t *testing.T, addr net.Addr) *keptCaller {
	t.Helper()
	conn, err := net.Dial("tcp4", addr.String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(hangs)))
	return &keptCaller{conn: conn, r: bufio.NewReader(conn)}
}

func (c *keptCaller) send(t *testing.T) {
	t.Helper()
	_, err := c.conn.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	assert.NilError(t, err)
}

// answered reads an answer and reports whether the connection ends with it.
func (c *keptCaller) answered(t *testing.T) (last bool) {
	t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp.Close
}

// TestStopAnswersWhatComesOnIdleConnections stops a server as requests come on connections
// that were idle.
func TestStopAnswersWhatComesOnIdleConnections(t *testing.T) {
	const rounds, callers = 8, 20
	for range rounds {
		s, addr := newRefuser(t)
		var kept []*keptCaller
		for range callers {
			c := newKeptCaller(t, addr)
			c.send(t)
			assert.Assert(t, !c.answered(t))
			kept = append(kept, c)
		}
		stopped := make(chan error, 1)
		go func() { stopped <- s.Shutdown(context.Background()) }()
		for _, c := range kept {
			c.send(t)
		}
		for _, c := range kept {
			c.answered(t)
		}
		assert.NilError(t, <-stopped)
	}
}

// TestStopEndsIdleConnections stops a server beside callers that send nothing more.
func TestStopEndsIdleConnections(t *testing.T) {
	s, addr := newRefuser(t)
	used, fresh := newKeptCaller(t, addr), newKeptCaller(t, addr)
	used.send(t)
	assert.Assert(t, !used.answered(t))
	assert.NilError(t, s.Shutdown(context.Background()))
	for _, c := range []*keptCaller{used, fresh} {
		_, err := c.r.ReadByte()
		assert.ErrorContains(t, err, "EOF")
	}
}
