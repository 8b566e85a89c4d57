package callers

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// callerPause is for how long a sound caller falls silent within a body. It is longer than headerTimeout.
const callerPause = 1800 * time.Millisecond

const (
	postHead    = "POST / HTTP/1.1\r\nHost: h\r\n"
	chunkedHead = postHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// pausedRequest is a request with the body "body" that arrives in two parts, whose header is in the first.
type pausedRequest struct{ name, first, rest string }

func pausedRequests() []pausedRequest {
	return []pausedRequest{
		{"before a body", postHead + "Content-Length: 4\r\n\r\n", "body"},
		{"in a body", postHead + "Content-Length: 4\r\n\r\nbo", "dy"},
		{"before the first chunk", chunkedHead, "4\r\nbody\r\n0\r\n\r\n"},
		{"in the size of a chunk", chunkedHead + "000", "4\r\nbody\r\n0\r\n\r\n"},
		{"after the size of a chunk", chunkedHead + "4", "\r\nbody\r\n0\r\n\r\n"},
		{"in the line of a chunk", chunkedHead + "4\r", "\nbody\r\n0\r\n\r\n"},
		{"in a chunk extension", chunkedHead + "4;na", "me=x\r\nbody\r\n0\r\n\r\n"},
		{"in a chunk", chunkedHead + "4\r\nbo", "dy\r\n0\r\n\r\n"},
		{"behind a chunk", chunkedHead + "4\r\nbody", "\r\n0\r\n\r\n"},
		{"between chunks", chunkedHead + "2\r\nbo\r\n", "2\r\ndy\r\n0\r\n\r\n"},
		{"before the last chunk", chunkedHead + "4\r\nbody\r\n", "0\r\n\r\n"},
		{"in the last chunk", chunkedHead + "4\r\nbody\r\n0\r", "\n\r\n"},
		{"before the trailer", chunkedHead + "4\r\nbody\r\n0\r\n", "\r\n"},
		{"in the trailer", chunkedHead + "4\r\nbody\r\n0\r\nX-T: a", "\r\n\r\n"},
		{"before a body that waits for 100", postHead + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n", "body"},
		{"in a body that waits for 100", postHead + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\nbo", "dy"},
		{"in chunks that wait for 100", postHead + "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo", "dy\r\n0\r\n\r\n"},
	}
}

// dialPaused connects for one request, after another on the same connection if kept is set.
func dialPaused(t *testing.T, addr string, kept bool) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn := dialSlow(t, addr)
	r := bufio.NewReader(conn)
	if kept {
		_, err := io.WriteString(conn, echoRequest("x"))
		assert.NilError(t, err)
		readEcho(t, r, http.StatusOK, "x")
	}
	return conn, r
}

// skipContinue reads the interim answer to a request that asks for one.
func skipContinue(t *testing.T, r *bufio.Reader, request string) {
	t.Helper()
	if !strings.Contains(request, "Expect:") {
		return
	}
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusContinue)
}

// TestPauseInABodyIsRefused guards against the limit for headers being applied to a caller that pauses within a body.
func TestPauseInABodyIsRefused(t *testing.T) {
	_, addr := startEcho(t)
	for _, c := range pausedRequests() {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/kept=%v", c.name, kept), func(t *testing.T) {
				t.Parallel()
				conn, r := dialPaused(t, addr, kept)
				for range 2 { // the connection stays usable
					_, err := io.WriteString(conn, c.first)
					assert.NilError(t, err)
					time.Sleep(callerPause)
					_, err = io.WriteString(conn, c.rest)
					assert.NilError(t, err)
					skipContinue(t, r, c.first)
					readEcho(t, r, http.StatusOK, "body")
					time.Sleep(callerPause)
				}
			})
		}
	}
}

// TestStalledBodyIsCalledInvalid guards against a caller that sends no more being told that its request is invalid, which it
// would not send again, rather than that it took too long.
func TestStalledBodyIsCalledInvalid(t *testing.T) {
	_, addr := startEcho(t)
	for _, c := range pausedRequests() {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/kept=%v", c.name, kept), func(t *testing.T) {
				t.Parallel()
				conn, r := dialPaused(t, addr, kept)
				_, err := io.WriteString(conn, c.first)
				assert.NilError(t, err)
				skipContinue(t, r, c.first)
				readEcho(t, r, http.StatusRequestTimeout, "")
				_, err = io.WriteString(conn, c.rest)
				assert.NilError(t, err)
				_, err = r.ReadByte()
				assert.ErrorIs(t, err, io.EOF)
			})
		}
	}
}

// TestCutOffForgetsArrivingRequests guards against a stop that ends with a request still arriving, and closes its connection
// without a refusal.
func TestCutOffForgetsArrivingRequests(t *testing.T) {
	for _, c := range pausedRequests() {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/kept=%v", c.name, kept), func(t *testing.T) {
				t.Parallel()
				s, addr := startEcho(t)
				s.CutOff = func() error { return nil }
				conn, r := dialPaused(t, addr, kept)
				_, err := io.WriteString(conn, c.first)
				assert.NilError(t, err)
				skipContinue(t, r, c.first)
				ctx, cancel := context.WithTimeout(t.Context(), headerTimeout/4)
				defer cancel()
				stopped := make(chan error, 1)
				go func() { stopped <- s.Shutdown(ctx) }()
				readEcho(t, r, http.StatusRequestTimeout, "")
				assert.NilError(t, conn.Close())
				if err := <-stopped; err != nil { // it is nil if all connections have ended in time
					assert.ErrorIs(t, err, context.DeadlineExceeded)
				}
			})
		}
	}
}
