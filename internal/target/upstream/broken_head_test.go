package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/standin/fault"
)

// TestBrokenHeadLooksLikeAnAnswer guards against bytes whose head is no head of HTTP/1.1 being taken for an answer: alone, on
// a connection that has carried an answer before, and behind an answer to another request.
func TestBrokenHeadLooksLikeAnAnswer(t *testing.T) {
	for _, head := range fault.BrokenHeads() {
		for name, before := range map[string]string{"first": "", "behind another": okResponse("other")} {
			t.Run(head.Name()+"/"+name, func(t *testing.T) {
				answered := 0
				tg := newTarget(t, func(c net.Conn, br *bufio.Reader) {
					for {
						req, err := readRequest(br)
						if err != nil {
							return
						}
						id := string(req.Header.Peek(headerID))
						if answered++; answered == 1 {
							_, _ = io.WriteString(c, okResponse(id))
							continue
						}
						_, _ = io.WriteString(c, before+head.Answer(headerID+": "+id+"\r\n", "x"))
						return
					}
				})
				a, err := tg.send(t.Context(), "a", "")
				assertBody(t, a, err, "ok")
				_, err = tg.send(t.Context(), "b", "")
				assertRun(t, err, answer.Unknown)
				assert.Equal(t, len(tg.pool.idle), 0, "the connection was kept")
				assert.Equal(t, tg.conns.Load(), int64(1))
			})
		}
	}
}

// TestBrokenHeadOfAReport guards against the same in the answer to a request of the router itself.
func TestBrokenHeadOfAReport(t *testing.T) {
	for _, head := range fault.BrokenHeads() {
		t.Run(head.Name(), func(t *testing.T) {
			tg := newTarget(t, respondWith(func(string) string { return head.Answer("", "x") }))
			conn, err := tg.pool.Acquire(t.Context(), true)
			assert.NilError(t, err)
			// A head that has begun may also lack its end.
			_, _, err = conn.Get(t.Context(), "/report", time.Now().Add(time.Second))
			assert.Assert(t, err != nil)
			assert.Assert(t, !conn.Usable())
		})
	}
}

// TestUnusualHeadIsAnAnswer checks that a head which is unusual but sound passes, in one piece and byte by byte, and that its
// connection is used again.
func TestUnusualHeadIsAnAnswer(t *testing.T) {
	for _, head := range fault.SoundHeads() {
		for _, slowly := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/slowly=%v", head.Name(), slowly), func(t *testing.T) {
				tg := newTarget(t, func(c net.Conn, br *bufio.Reader) {
					for {
						req, err := readRequest(br)
						if err != nil {
							return
						}
						writeInParts(c, head.Answer(headerID+": "+string(req.Header.Peek(headerID))+"\r\n", "ok"), slowly)
					}
				})
				for _, id := range []string{"a", "b"} {
					a, err := tg.send(t.Context(), id, "")
					assertBody(t, a, err, "ok")
				}
			})
		}
	}
}

// writeInParts writes text at once, or byte by byte.
func writeInParts(c net.Conn, text string, slowly bool) {
	if !slowly {
		_, _ = io.WriteString(c, text)
		return
	}
	for n := range text {
		_, _ = io.WriteString(c, text[n:n+1])
		time.Sleep(50 * time.Microsecond)
	}
}

// TestEveryStatusIsAnAnswer checks that an answer with any status that HTTP has passes.
func TestEveryStatusIsAnAnswer(t *testing.T) {
	for status := 200; status < 600; status++ {
		tg := newTarget(t, respondWith(func(id string) string {
			return fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", status, headerID, id)
		}))
		a, err := tg.send(t.Context(), "a", "")
		assert.NilError(t, err)
		assert.Equal(t, a.Status(), status)
		assertBody(t, a, err, "")
	}
}
