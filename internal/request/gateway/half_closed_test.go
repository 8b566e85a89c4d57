package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/standin/engine"
)

// TestCallerThatOnlyStopsSendingGetsNoEmptySuccess guards against 200 without a body for a caller that closes its sending
// side and then reads, as its target is silent.
func TestCallerThatOnlyStopsSendingGetsNoEmptySuccess(t *testing.T) {
	fleet, err := newTestFleet(context.Background(), 1)
	assert.NilError(t, err)
	t.Cleanup(fleet.close)
	n := fleet.nodes[0]
	n.client.FirstByteTimeout, n.client.ProgressTimeout = usualFirstByte, usualProgress
	for addr := range fleet.engines {
		fleet.engines[addr].SetFault(engine.Fault{StallMs: (2 * connCheckInterval).Milliseconds()})
	}
	for addr := range fleet.services {
		fleet.services[addr].Delay = 2 * connCheckInterval
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() { _ = fasthttp.Serve(listener, n.gateway.Handle) }()
	for name, request := range map[string]struct{ path, body string }{
		"completion": {chat.PathCompletions, completionBody("a")},
		"stream":     {chat.PathCompletions, streamBodyOf("a")},
		"call":       {"/v1/services/beds/hold", "{}"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, err := net.Dial("tcp4", listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\nContent-Length: %d\r\n\r\n%s", request.path, len(request.body), request.body)
			assert.NilError(t, err)
			assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(time.Minute)))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			defer func() { _ = resp.Body.Close() }()
			assert.Equal(t, resp.StatusCode, http.StatusGatewayTimeout)
		})
	}
}
