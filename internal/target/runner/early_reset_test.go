package runner

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// longUpload is the size in bytes of a body that does not fit into the buffers of a connection whose reader does not read.
const longUpload = 8 << 20

// startHastyTarget starts a target that answers each request at once, before it has read it, and resets the connection
// after a pause. It returns its address.
func startHastyTarget(t *testing.T, answer string, pause time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go resetAfter(conn.(*net.TCPConn), answer, pause)
		}
	}()
	return l.Addr().String()
}

// resetAfter answers one request and resets the connection.
func resetAfter(conn *net.TCPConn, answer string, pause time.Duration) {
	defer func() { _ = conn.Close() }()
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return
	}
	_, _ = io.WriteString(conn, answer)
	time.Sleep(pause)
	_ = conn.SetLinger(0)
}

// TestResetLooksLikeTheEndOfAnAnswer guards against an answer without a length whose target resets the connection, during the
// upload of the request or behind it, being taken for complete.
func TestResetLooksLikeTheEndOfAnAnswer(t *testing.T) {
	for _, size := range []int{10, longUpload} {
		for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 300 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d bytes/%v", size, pause), func(t *testing.T) {
				t.Parallel()
				addr := startHastyTarget(t, "HTTP/1.1 200 OK\r\n"+runField("a")+"\r\npart", pause)
				c := &Client{}
				defer c.Close()
				_, err := c.CallService(addr, "a", ServiceRequest{Method: "POST", Path: "/x", Body: make([]byte, size)})
				assert.Assert(t, err != nil, "the answer seems complete")
			})
		}
	}
}
