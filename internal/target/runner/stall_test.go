package runner

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/standin/fault"
)

const unknownRun = "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n"

// streamOnStalledConn sends two completions to an engine that answers the second, on the same connection, after the
// delay, and requests for a run on other connections with the text. It returns the error of the second.
func streamOnStalledConn(t *testing.T, delay time.Duration, resumed string) error {
	t.Helper()
	s, err := fault.StartRawServer(func(n int, req *fasthttp.Request) (string, bool) {
		if req.Header.IsGet() {
			return resumed, false
		}
		if n > 0 {
			time.Sleep(delay)
		}
		return rawResponse(200, runField(string(req.Header.Peek(chat.HeaderRun))), wholeEvents), true
	})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	c := &Client{}
	t.Cleanup(c.Close)
	var events int
	stream := func(runID string) error {
		events = 0
		return c.Stream(t.Context(), s.Addr(), runID, []byte("{}"), func(Event) error { events++; return nil })
	}
	assert.NilError(t, stream("a"))
	err = stream("b")
	if err == nil {
		assert.Equal(t, events, 2, "events of the answer")
	}
	return err
}

// TestAnswerOnAStalledConnection guards against a completion failing whose engine answers late on a kept connection and
// says on another that it has no such run, and against one that is found only there being waited for.
func TestAnswerOnAStalledConnection(t *testing.T) {
	t.Run("the run is not known elsewhere yet", func(t *testing.T) {
		t.Parallel()
		assert.NilError(t, streamOnStalledConn(t, stallThreshold+stallThreshold/2, unknownRun))
	})
	t.Run("others are closed without an answer", func(t *testing.T) {
		t.Parallel()
		assert.NilError(t, streamOnStalledConn(t, stallThreshold+stallThreshold/2, ""))
	})
	t.Run("the run is found elsewhere", func(t *testing.T) {
		t.Parallel()
		began := time.Now()
		assert.NilError(t, streamOnStalledConn(t, time.Minute, rawResponse(200, runField("b"), wholeEvents)))
		assert.Assert(t, time.Since(began) < time.Minute/2)
	})
	t.Run("only the connection is silent", func(t *testing.T) {
		t.Parallel()
		err := streamOnStalledConn(t, time.Minute, unknownRun)
		assert.Assert(t, errors.Is(err, ErrSilent), "%v", err)
		assert.Equal(t, RunStateOf(err), answer.Unknown)
	})
}
