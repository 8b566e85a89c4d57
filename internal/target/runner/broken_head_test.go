package runner

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/standin/fault"
)

// TestHeadThatEndsInTheMiddle guards against an answer whose head broke off being taken for a success with an empty or
// short body.
func TestHeadThatEndsInTheMiddle(t *testing.T) {
	for kind, send := range requests(t) {
		for _, framing := range []string{"Content-Length: 40\r\n", "Transfer-Encoding: chunked\r\n", ""} {
			t.Run(fmt.Sprintf("%s %q", kind, framing), func(t *testing.T) {
				whole := func(runID string) string {
					return "HTTP/1.1 200 OK\r\n" + runField(runID) + "Content-Type: text/event-stream\r\n" + framing + "\r\n"
				}
				cut := 0
				tg := startRawServer(t, func(_ int, runID string) (string, bool) { return whole(runID)[:cut], false })
				c := &Client{}
				defer c.Close()
				for cut = range len(whole("a")) - 1 {
					assert.Assert(t, send(c, tg.Addr(), "a") != nil, "cut after %d bytes", cut)
				}
			})
		}
	}
}

// TestBrokenHeadLooksLikeAnAnswer guards against bytes whose head is no head of HTTP/1.1 being taken for an answer, on a new
// connection and on one that has carried an answer before.
func TestBrokenHeadLooksLikeAnAnswer(t *testing.T) {
	for kind, send := range requests(t) {
		for _, head := range fault.BrokenHeads() {
			t.Run(kind+"/"+head.Name(), func(t *testing.T) {
				broken := false
				tg := startRawServer(t, func(_ int, runID string) (string, bool) {
					if broken {
						return head.Answer(runField(runID), wholeEvents), false
					}
					return rawResponse(200, runField(runID), wholeEvents), true
				})
				c := &Client{}
				defer c.Close()
				assert.NilError(t, send(c, tg.Addr(), "a"))
				broken = true
				for _, runID := range []string{"b", "c"} {
					err := send(c, tg.Addr(), runID)
					assert.Assert(t, err != nil)
					assert.Equal(t, RunStateOf(err), answer.Unknown, "%v", err)
				}
				assert.Equal(t, tg.Conns(), int64(2))
			})
		}
	}
}

// TestUnusualHeadIsAnAnswer checks that a head which is unusual but sound passes.
func TestUnusualHeadIsAnAnswer(t *testing.T) {
	for kind, send := range requests(t) {
		for _, head := range fault.SoundHeads() {
			t.Run(kind+"/"+head.Name(), func(t *testing.T) {
				tg := newRawTarget(t, func(_ int, runID string) string { return head.Answer(runField(runID), wholeEvents) })
				c := &Client{}
				defer c.Close()
				for _, runID := range []string{"a", "b"} {
					assert.NilError(t, send(c, tg.Addr(), runID))
				}
			})
		}
	}
}
