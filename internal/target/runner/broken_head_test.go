package runner

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
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
