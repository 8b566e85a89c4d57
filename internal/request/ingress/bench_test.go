package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkRequest measures what it takes to read a request, of which the body is refused, and to answer it on a kept
// connection. Its figures hold the client's part.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 64 << 10} {
		b.Run(fmt.Sprintf("%d bytes", size), func(b *testing.B) {
			conn := benchConn(b)
			request := fmt.Sprintf("POST /book/x HTTP/1.1\r\nHost: h\r\nRosevalve-Attempt-Id: a1\r\nRosevalve-Deadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
			br := bufio.NewReader(conn)
			answer := 0
			b.ReportAllocs()
			for b.Loop() {
				_, err := io.WriteString(conn, request)
				assert.NilError(b, err)
				if answer == 0 {
					answer = readFirst(b, br)
					continue
				}
				_, err = br.Discard(answer)
				assert.NilError(b, err)
			}
		})
	}
}

// readFirst reads an answer and returns its size.
func readFirst(b *testing.B, br *bufio.Reader) int {
	b.Helper()
	_, err := br.Peek(1)
	assert.NilError(b, err)
	n := br.Buffered()
	text, err := br.Peek(n)
	assert.NilError(b, err)
	assert.Assert(b, strings.Contains(string(text), fmt.Sprint(http.StatusBadRequest)))
	_, err = br.Discard(n)
	assert.NilError(b, err)
	return n
}

// benchConn returns a connection to a server that refuses all requests.
func benchConn(b *testing.B) net.Conn {
	b.Helper()
	_, addr := newRefusingServer(b)
	conn, err := net.Dial("tcp4", addr.String())
	assert.NilError(b, err)
	b.Cleanup(func() { _ = conn.Close() })
	return conn
}
