package dispatch

import (
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/standin/fault"
)

// newRawEngine starts a TCP server that answers the first request on each connection with the
// text that respond returns, and closes it. It returns its address.
func newRawEngine(t *testing.T, respond func(resumed bool, runID string) string) string {
	t.Helper()
	s, err := fault.StartRawServer(func(_ int, req *fasthttp.Request) (string, bool) {
		runID := string(req.Header.Peek(chat.HeaderRun))
		if req.Header.IsGet() {
			runID = string(req.URI().Path())[len(chat.PathRuns):]
		}
		return respond(req.Header.IsGet(), runID), false
	})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s.Addr()
}
