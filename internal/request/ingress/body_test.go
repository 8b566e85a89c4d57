package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosevalve/internal/protocol/callers"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/forward"
	"rosevalve/internal/request/memory"
)

// newReadingServer starts a server that answers each request with 400 and the size and a sum of its body. Its budget has
// the limit.
func newReadingServer(t *testing.T, limit int64) (*Server, net.Addr) {
	t.Helper()
	s, addr := newServerWith(t, func(s *Server) {
		s.Memory = &memory.Budget{Limit: limit}
		s.Owner = func(h *fasthttp.RequestHeader) (string, bool) {
			key := string(h.Peek("Api-Key"))
			return key, key != ""
		}
		s.ParseRequest = func(in *fasthttp.Request, _ time.Time) (*forward.Request, error) {
			return nil, errors.New(digest(string(in.Body())))
		}
	})
	return s, addr
}

// digest tells bodies apart.
func digest(body string) string {
	sum := 0
	for n, b := range []byte(body) {
		sum = (sum*31 + int(b) + n) % 1000003
	}
	return fmt.Sprintf("<%d bytes, %d>", len(body), sum)
}

const readLimit = 20 * time.Second

// TestBodiesInAnyPieces sends random bodies, by length or in chunks, in random pieces and one request right behind the
// other.
func TestBodiesInAnyPieces(t *testing.T) {
	s, addr := newReadingServer(t, 8<<20)
	rapid.Check(t, func(rt *rapid.T) {
		var text, want []string
		for range rapid.IntRange(1, 4).Draw(rt, "requests") {
			body := strings.Repeat(rapid.StringMatching(`[a-z\r\n0]{1,9}`).Draw(rt, "text"), rapid.IntRange(0, 4000).Draw(rt, "times"))
			text = append(text, encodeBody(rt, body))
			want = append(want, digest(body))
		}
		conn, err := net.Dial("tcp4", addr.String())
		assert.NilError(rt, err)
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(readLimit))
		go writePieces(conn, strings.Join(text, ""), rapid.IntRange(1, 20000).Draw(rt, "piece"))
		br := bufio.NewReader(conn)
		for _, w := range want {
			resp, err := http.ReadResponse(br, nil)
			assert.NilError(rt, err)
			answer, err := io.ReadAll(resp.Body)
			assert.NilError(rt, err)
			assert.Assert(rt, strings.Contains(string(answer), w), "answer %q, want %q", answer, w)
		}
	})
	waitReleased(t, s)
}

// encodeBody returns a request with a body that is encoded in a random way.
func encodeBody(t *rapid.T, body string) string {
	const head = "POST / HTTP/1.1\r\nHost: a\r\nApi-Key: k\r\n"
	if rapid.Bool().Draw(t, "length") {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	var b strings.Builder
	b.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n")
	size := rapid.IntRange(1, 20000).Draw(t, "chunk")
	for rest := body; rest != ""; {
		part := rest[:min(size, len(rest))]
		rest = rest[len(part):]
		fmt.Fprintf(&b, "%x%s\r\n%s\r\n", len(part), rapid.SampledFrom([]string{"", ";a=b", " "}).Draw(t, "extension"), part)
	}
	b.WriteString("0\r\n" + rapid.SampledFrom([]string{"", "X-Sum: 1\r\n"}).Draw(t, "trailer") + "\r\n")
	return b.String()
}

// writePieces writes a text in pieces of a size. It ends when the connection is closed.
func writePieces(w io.Writer, text string, size int) {
	for text != "" {
		n := min(size, len(text))
		if _, err := io.WriteString(w, text[:n]); err != nil {
			return
		}
		text = text[n:]
	}
}

// waitReleased waits until no memory is reserved.
func waitReleased(t *testing.T, s *Server) {
	t.Helper()
	for end := time.Now().Add(readLimit); s.Memory.Reserved() > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d bytes stay reserved", s.Memory.Reserved())
	}
}

// TestMemoryFollowsWhatArrived lets requests announce bodies of which nothing comes.
func TestMemoryFollowsWhatArrived(t *testing.T) {
	const announcing = 20
	s, addr := newReadingServer(t, 8<<20)
	for range announcing {
		conn, err := net.Dial("tcp4", addr.String())
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nApi-Key: k\r\nContent-Length: %d\r\n\r\n", defaultBodyBytes)
		assert.NilError(t, err)
	}
	for end := time.Now().Add(readLimit); s.Connections() < announcing; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
	assert.Assert(t, s.Memory.Reserved() <= announcing*(64<<10), "%d bytes are reserved", s.Memory.Reserved())
}

// TestWhoGoesWhenMemoryRunsOut fills the memory with bodies that make no progress. One without a key goes first, then the
// largest; the request that goes on is read.
func TestWhoGoesWhenMemoryRunsOut(t *testing.T) {
	const first = "keyless"
	_, addr := newReadingServer(t, 1<<20)
	stalled := map[string]int{first: 60 << 10, "k1": 60 << 10, "k2": 190 << 10}
	conns := make(map[string]net.Conn)
	for _, name := range []string{first, "k1", "k2"} {
		conn, err := net.Dial("tcp4", addr.String())
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		conns[name] = conn
		key := name
		if name == first {
			key = ""
		}
		_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nApi-Key: %s\r\nContent-Length: %d\r\n\r\n%s", key, 1<<20, strings.Repeat("x", stalled[name]))
		assert.NilError(t, err)
	}
	time.Sleep(1100 * time.Millisecond) // longer than a pause that counts as progress
	conn, err := net.Dial("tcp4", addr.String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(readLimit))
	body := strings.Repeat("y", 250<<10)
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nApi-Key: k3\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	assert.NilError(t, err)
	assertAnswer(t, conn, http.StatusBadRequest, digest(body))
	assertAnswer(t, conns[first], http.StatusServiceUnavailable, "")
}

// assertAnswer reads an answer and checks its status and a part of its body.
func assertAnswer(t *testing.T, conn net.Conn, status int, part string) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(readLimit))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, status, "%s", body)
	assert.Assert(t, strings.Contains(string(body), part), "%s", body)
}

// TestSlowBodyIsRefused guards against a body that arrives byte by byte without end.
func TestSlowBodyIsRefused(t *testing.T) {
	t.Parallel()
	_, addr := newReadingServer(t, 8<<20)
	conn, err := net.Dial("tcp4", addr.String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n")
	assert.NilError(t, err)
	go func() {
		for range 99 {
			if _, err := io.WriteString(conn, "x"); err != nil {
				return
			}
			time.Sleep(time.Second)
		}
	}()
	_ = conn.SetReadDeadline(time.Now().Add(2 * (defaultHeaderTimeout + 4*defaultHeaderTimeout)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
}

// TestIdleConnectionGoesForANewOne opens one connection more than the server may have: one of the idle ones is closed, and all
// others are served. Which of them is idle for longest depends on when the server finds them so; callers has the test of that
// order.
func TestIdleConnectionGoesForANewOne(t *testing.T) {
	const most = 3
	_, addr := newServerWith(t, func(s *Server) { s.MaxConns = func() int { return most } })
	ask := func(conn net.Conn) (int, error) {
		_ = conn.SetDeadline(time.Now().Add(readLimit))
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			return 0, fmt.Errorf("send: %w", err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return 0, fmt.Errorf("read: %w", err)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, err
	}
	var conns []net.Conn
	for range most + 1 {
		conn, err := net.Dial("tcp4", addr.String())
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		status, err := ask(conn)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusBadRequest)
		conns = append(conns, conn)
	}
	closed := 0
	for n, conn := range conns {
		status, err := ask(conn)
		if err != nil && n < most {
			closed++
			continue
		}
		assert.NilError(t, err, "connection %d", n)
		assert.Equal(t, status, http.StatusBadRequest)
	}
	assert.Equal(t, closed, 1)
}

// writeLarge returns a Server.WriteError that writes an answer of size bytes.
func writeLarge(size int) func(out *fasthttp.Response, refusal *answer.Error, requestID string) {
	text := strings.Repeat("x", size)
	return func(out *fasthttp.Response, refusal *answer.Error, _ string) {
		out.SetStatusCode(refusal.Status)
		out.SetBodyString(text)
	}
}

// TestUnreadAnswerEnds lets a caller read nothing of a large answer.
func TestUnreadAnswerEnds(t *testing.T) {
	const answerSize = 16 << 20
	reasons := make(chan callers.Reason, 1)
	s, addr := newServerWith(t, func(s *Server) {
		s.WriteStall = 200 * time.Millisecond
		s.OnEvicted = func(r callers.Reason) { reasons <- r }
		s.WriteError = writeLarge(answerSize)
	})
	conn, err := net.Dial("tcp4", addr.String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	select {
	case r := <-reasons:
		assert.Equal(t, r, callers.NotRead)
	case <-time.After(readLimit):
		t.Fatal("the connection stays")
	}
	for end := time.Now().Add(readLimit); s.Connections() > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the connection stays")
	}
}

// TestSlowReaderGetsItsAnswer lets a caller read a large answer steadily, but far more slowly than the system's queues for it
// become free.
func TestSlowReaderGetsItsAnswer(t *testing.T) {
	const (
		answerSize = 12 << 20
		pause      = 50 * time.Millisecond
	)
	s, addr := newServerWith(t, func(s *Server) {
		s.WriteStall = time.Second
		s.WriteError = writeLarge(answerSize)
	})
	conn, err := net.Dial("tcp4", addr.String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	assert.NilError(t, err)
	read := 0
	part := make([]byte, 64<<10)
	for {
		n, err := conn.Read(part)
		read += n
		if errors.Is(err, io.EOF) {
			break
		}
		assert.NilError(t, err, "after %d bytes", read)
		time.Sleep(pause)
		s.callers.EndUnread()
	}
	assert.Assert(t, read >= answerSize, "only %d bytes", read)
}

// TestHeaderEndsOnce guards against a body that is taken for the next request where the lines of a header end in different
// ways, and against fields in folded lines that delimit a body.
func TestHeaderEndsOnce(t *testing.T) {
	for name, text := range map[string]string{
		"empty line without carriage return": "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 35\r\n\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\nhello",
		"line without carriage return":       "POST /a HTTP/1.1\r\nHost: a\nContent-Length: 35\n\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\nhello",
		"folded length":                      "POST /a HTTP/1.1\r\nHost: a\r\nX: a\r\n Content-Length: 5\r\n\r\nhello",
		"folded encoding":                    "POST /a HTTP/1.1\r\nHost: a\r\nX: a\r\n Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s, addr := newReadingServer(t, 8<<20)
			var parsed atomic.Int64
			parse := s.ParseRequest
			s.ParseRequest = func(in *fasthttp.Request, at time.Time) (*forward.Request, error) {
				parsed.Add(1)
				return parse(in, at)
			}
			conn, err := net.Dial("tcp4", addr.String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(readLimit))
			_, err = io.WriteString(conn, text)
			assert.NilError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
			assert.Assert(t, resp.Close, "the connection stays open")
			assert.Equal(t, parsed.Load(), int64(0))
			waitReleased(t, s)
		})
	}
}

// TestFullMemoryIsToldToCallers guards against connections that are reset without an answer while the memory for requests is
// used up.
func TestFullMemoryIsToldToCallers(t *testing.T) {
	_, addr := newReadingServer(t, 1)
	conn, err := net.Dial("tcp4", addr.String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(readLimit))
	_, err = io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: a\r\nApi-Key: k\r\nContent-Length: 5\r\n\r\nhello")
	assert.NilError(t, err)
	assertAnswer(t, conn, http.StatusServiceUnavailable, "")
}

// TestManyChunksNeedFewBuffers guards against a buffer for each chunk.
func TestManyChunksNeedFewBuffers(t *testing.T) {
	const limit = 4 << 20
	sizes := 0
	for size := bufferSize(0, limit); size < limit; size = bufferSize(size, limit) {
		sizes++
	}
	assert.Assert(t, sizes < 12, "%d buffers", sizes)
	assert.Equal(t, bufferSize(64<<10, 70<<10), 72<<10)
}
