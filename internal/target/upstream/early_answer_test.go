package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rosevalve/internal/protocol/socket"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/runner"
)

// targetPause is for how long a sound target falls silent while it reads a request.
const targetPause = 1500 * time.Millisecond

// earlyAnswer describes a target that answers before it has read the whole body.
type earlyAnswer struct {
	body    int // size of the request's body in bytes
	read    int // how much of it the target reads before it answers
	pause   time.Duration
	refuses bool
	status  int
	end     func(c net.Conn, br *bufio.Reader) // what the target does behind its answer
}

// behindAnswer are the ways in which a target goes on. Closing with unread bytes resets the connection.
func behindAnswer() map[string]func(c net.Conn, br *bufio.Reader) {
	return map[string]func(c net.Conn, br *bufio.Reader){
		"closes":   func(net.Conn, *bufio.Reader) {},
		"reads on": func(_ net.Conn, br *bufio.Reader) { _, _ = io.Copy(io.Discard, br) },
		"reads on later": func(_ net.Conn, br *bufio.Reader) {
			time.Sleep(targetPause)
			_, _ = io.Copy(io.Discard, br)
		},
	}
}

func earlyAnswers() map[string]earlyAnswer {
	out := make(map[string]earlyAnswer)
	for _, body := range []int{200, asyncWriteThreshold + 1, 64 << 10, 8 << 20} {
		for _, read := range []int{0, body / 2} {
			for _, pause := range []time.Duration{0, targetPause} {
				for _, status := range []int{200, 421, 429, 503} {
					for end, f := range behindAnswer() {
						name := fmt.Sprintf("%d of %d bytes/pause=%v/%d/%s", read, body, pause, status, end)
						out[name] = earlyAnswer{body: body, read: read, pause: pause, status: status, refuses: status != 200, end: f}
					}
				}
			}
		}
	}
	return out
}

// serve reads a part of one request and answers it.
func (e earlyAnswer) serve(c net.Conn, br *bufio.Reader) {
	id := ""
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			return
		}
		if line == "\r\n" {
			break
		}
		if value, ok := strings.CutPrefix(line, headerID+": "); ok {
			id = strings.TrimSpace(value)
		}
	}
	_, _ = io.CopyN(io.Discard, br, int64(e.read)/2)
	time.Sleep(e.pause)
	_, _ = io.CopyN(io.Discard, br, int64(e.read)/2)
	response := okResponse(id)
	if e.refuses {
		response = fmt.Sprintf("HTTP/1.1 %d No\r\n%s: %s\r\n%s: 1\r\nContent-Length: 2\r\n\r\nno", e.status, headerID, id, headerNotRun)
	}
	_, _ = io.WriteString(c, response)
	e.end(c, br)
}

// start starts the target, with connections like those of the router.
func (e earlyAnswer) start(t *testing.T) *testTarget {
	t.Helper()
	tg := newTarget(t, e.serve)
	tg.pool.Dial = socket.Dialer{Timeout: time.Second, UserTimeout: socket.MaxGap}.Dial
	return tg
}

// assertAnswered checks that the answer of the target arrives.
func (e earlyAnswer) assertAnswered(t *testing.T, a *Response, err error) {
	t.Helper()
	if !e.refuses {
		assert.NilError(t, err)
		got, err := a.ReadBody(1<<20, nil)
		assert.NilError(t, err)
		assert.Equal(t, string(got), "ok")
		a.Release()
		return
	}
	assertRun(t, err, answer.NotRun)
	var refusal *runner.Error
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Status, e.status)
}

// TestRefusalIsLostToAWriteError guards against a request being taken for one that may have run since its target answered
// and closed the connection before the request was written.
func TestRefusalIsLostToAWriteError(t *testing.T) {
	for name, e := range earlyAnswers() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tg := e.start(t)
			a, err := tg.sendBody(t.Context(), make([]byte, e.body))
			e.assertAnswered(t, a, err)
		})
	}
}

// unframed returns a target that sends an answer without a length to a request that it has not read to its end, and ends
// it after a pause.
func unframed(t *testing.T, pause time.Duration, end func(c *net.TCPConn, br *bufio.Reader)) *testTarget {
	t.Helper()
	return newTarget(t, func(c net.Conn, br *bufio.Reader) {
		_, _ = br.Peek(1)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+headerID+": a\r\n\r\nok")
		time.Sleep(pause)
		end(c.(*net.TCPConn), br)
	})
}

// bodyReaders are the two ways in which the body of an answer is read.
func bodyReaders() map[string]func(a *Response) ([]byte, error) {
	return map[string]func(a *Response) ([]byte, error){
		"whole":    func(a *Response) ([]byte, error) { return a.ReadBody(1<<20, nil) },
		"in parts": func(a *Response) ([]byte, error) { return io.ReadAll(a) },
	}
}

// TestResetLooksLikeTheEndOfAnAnswer guards against an answer without a length that is reset on the way being taken for a
// whole one: the system tells the reset once, which may have been to the write of the request.
func TestResetLooksLikeTheEndOfAnAnswer(t *testing.T) {
	for reading, read := range bodyReaders() {
		for n := range 20 {
			t.Run(fmt.Sprintf("read %s/%d", reading, n), func(t *testing.T) {
				t.Parallel()
				tg := unframed(t, time.Duration(n)*10*time.Millisecond, func(*net.TCPConn, *bufio.Reader) {})
				a, err := tg.sendBody(t.Context(), make([]byte, 8<<20))
				assert.NilError(t, err)
				defer a.Abort()
				_, err = read(a)
				assert.Assert(t, err != nil, "the answer seems whole")
			})
		}
	}
}

// TestEndOfAnAnswerThatOvertakesItsRequest checks that an answer without a length which ends in order is whole, although its
// target reads the request only later.
func TestEndOfAnAnswerThatOvertakesItsRequest(t *testing.T) {
	for reading, read := range bodyReaders() {
		t.Run("read "+reading, func(t *testing.T) {
			tg := unframed(t, 0, func(c *net.TCPConn, br *bufio.Reader) {
				_ = c.CloseWrite()
				time.Sleep(100 * time.Millisecond)
				_, _ = io.Copy(io.Discard, br)
			})
			a, err := tg.sendBody(t.Context(), make([]byte, 8<<20))
			assert.NilError(t, err)
			defer a.Abort()
			got, err := read(a)
			assert.NilError(t, err)
			assert.Equal(t, string(got), "ok")
		})
	}
}

// cutWriter is a connection whose target answers as soon as it has a part of a request, and that takes no more then.
type cutWriter struct {
	net.Conn
	t     *testing.T
	taken int // bytes that can be written
}

// Write writes what can be written; then it fails once the answer or the end of the connection has arrived.
func (c *cutWriter) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p[:min(len(p), c.taken)])
	c.taken -= n
	if err != nil || n == len(p) {
		return n, err
	}
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if socket.Peek(c.Conn) == socket.Quiet {
			return poll.Continue("no answer")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	return n, unix.EPIPE
}

// TestAnswerIsHiddenByAWriteError guards against a refusal not being read since the rest of a request, small or large, could
// not be written.
func TestAnswerIsHiddenByAWriteError(t *testing.T) {
	const refusal = "HTTP/1.1 503 No\r\n" + headerID + ": a\r\n" + headerNotRun + ": 1\r\nContent-Length: 2\r\n\r\nno"
	for _, body := range []int{200, 64 << 10} {
		for _, c := range []struct {
			name   string
			taken  int
			answer string
			want   answer.RunState
		}{
			{name: "nothing was sent", want: answer.NotRun},
			{name: "a refusal", taken: 40, answer: refusal, want: answer.NotRun},
			{name: "a refusal of another request", taken: 40, answer: strings.Replace(refusal, ": a\r\n", ": b\r\n", 1), want: answer.Unknown},
			{name: "no answer", taken: 40, want: answer.Unknown},
			{name: "a part of a refusal", taken: 40, answer: refusal[:40], want: answer.Unknown},
			{name: "a success", taken: 40, answer: okResponse("a"), want: answer.Ran},
		} {
			t.Run(fmt.Sprintf("%d bytes/%s", body, c.name), func(t *testing.T) {
				tg := newTarget(t, func(conn net.Conn, br *bufio.Reader) {
					if c.taken > 0 {
						_, _ = br.Peek(c.taken)
					}
					_, _ = io.WriteString(conn, c.answer)
				})
				dial := tg.pool.Dial
				tg.pool.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
					conn, err := dial(ctx, addr)
					return &cutWriter{Conn: conn, t: t, taken: c.taken}, err
				}
				a, err := tg.sendBody(t.Context(), make([]byte, body))
				if c.want != answer.Ran {
					assertRun(t, err, c.want)
					return
				}
				assertBody(t, a, err, "ok")
				assert.Equal(t, len(tg.pool.idle), 0)
			})
		}
	}
}
