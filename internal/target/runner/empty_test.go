package runner

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"rosevalve/internal/request/answer"
)

// noContent returns a response without a body with the header fields.
func noContent(fields string) string { return "HTTP/1.1 204 X\r\n" + fields + "\r\n" }

// TestEmptyUnnamedAnswersAreBelieved guards against a plain service, which need not name the call,
// failing at its second call when its answers have no body.
func TestEmptyUnnamedAnswersAreBelieved(t *testing.T) {
	for name, resp := range map[string]string{
		"empty body": rawResponse(200, "", ""),
		"no content": noContent(""),
	} {
		for _, method := range []string{"GET", "HEAD"} {
			t.Run(name+" "+method, func(t *testing.T) {
				tg := newRawTarget(t, func(int, string) string { return resp })
				var c Client
				for n := range 3 {
					_, err := c.CallService(tg.Addr(), fmt.Sprintf("run-%d", n), ServiceRequest{Method: method, Path: "/"})
					assert.NilError(t, err, "call %d", n)
				}
			})
		}
	}
}

// TestEmptyAnswersOfCallsAtTheSameTime guards against a call being sent on a connection between the end of an
// answer without a body and the look at its run id, and against a call being sent twice for that.
func TestEmptyAnswersOfCallsAtTheSameTime(t *testing.T) {
	const callers, calls = 16, 50
	for _, named := range []bool{true, false} {
		t.Run(fmt.Sprint("named ", named), func(t *testing.T) {
			var received atomic.Int64
			tg := newRawTarget(t, func(_ int, runID string) string {
				received.Add(1)
				if named {
					return noContent(runField(runID))
				}
				return noContent("")
			})
			c := &Client{}
			defer c.Close()
			var wg sync.WaitGroup
			for n := range callers {
				wg.Go(func() {
					for m := range calls {
						_, err := c.CallService(tg.Addr(), fmt.Sprintf("run-%d-%d", n, m), ServiceRequest{Method: "POST", Path: "/", NewConn: m%5 == 0})
						assert.Check(t, err, "call %d of caller %d", m, n)
					}
				})
			}
			wg.Wait()
			assert.Equal(t, received.Load(), int64(callers*calls))
			t.Logf("%d connections for %d calls", tg.Conns(), callers*calls)
		})
	}
}

// TestEmptyNamedAnswersKeepTheConnection guards against a connection for each call of a service that names
// its calls.
func TestEmptyNamedAnswersKeepTheConnection(t *testing.T) {
	tg := newRawTarget(t, func(_ int, runID string) string { return noContent(runField(runID)) })
	c := &Client{}
	defer c.Close()
	for n := range 5 {
		_, err := c.CallService(tg.Addr(), fmt.Sprintf("run-%d", n), ServiceRequest{Method: "POST", Path: "/x"})
		assert.NilError(t, err, "call %d", n)
	}
	assert.Equal(t, tg.Conns(), int64(1))
}

// TestCopyOfAnEmptyAnswer guards against a copy of an earlier answer without a body being taken for the answer
// to the call in flight, and against its connection being used again.
func TestCopyOfAnEmptyAnswer(t *testing.T) {
	for _, fields := range []string{"", notRunField, runField("a"), notRunField + runField("a")} {
		t.Run(fmt.Sprintf("%q", fields), func(t *testing.T) {
			tg := newRawTarget(t, func(n int, runID string) string {
				own := noContent(runField(runID))
				if n == 0 {
					return own
				}
				return noContent(fields) + own
			})
			c := &Client{}
			defer c.Close()
			call := func(runID string) error {
				_, err := c.CallService(tg.Addr(), runID, ServiceRequest{Method: "POST", Path: "/x"})
				return err
			}
			assert.NilError(t, call("a"))
			err := call("b")
			assert.Assert(t, err != nil)
			assert.Equal(t, RunStateOf(err), answer.Unknown, "%v", err)
			assert.Equal(t, tg.Conns(), int64(1))
			assert.NilError(t, call("c"))
			assert.Equal(t, tg.Conns(), int64(2), "the connection was used again")
		})
	}
}
