package runner

import (
	"fmt"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/standin/fault"
)

const (
	notRunField = chat.HeaderNotRun + ": 1\r\n"
	wholeEvents = "data: {\"id\":\"x\",\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n"
)

// newRawTarget starts a server that answers the nth request on a connection, counted from 0, with the text that respond
// returns.
func newRawTarget(t *testing.T, respond func(n int, runID string) string) *fault.RawServer {
	t.Helper()
	return startRawServer(t, func(n int, runID string) (string, bool) { return respond(n, runID), true })
}

// startRawServer starts a server that also gets the id of the run.
func startRawServer(t *testing.T, respond func(n int, runID string) (text string, more bool)) *fault.RawServer {
	t.Helper()
	s, err := fault.StartRawServer(func(n int, req *fasthttp.Request) (string, bool) {
		return respond(n, string(req.Header.Peek(chat.HeaderRun)))
	})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// rawResponse returns a response with the header fields and the body.
func rawResponse(status int, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
}

func runField(runID string) string { return chat.HeaderRun + ": " + runID + "\r\n" }

// request sends a request with the run id and returns its error.
type request func(c *Client, addr, runID string) error

// requests are the requests that use kept connections.
func requests(t *testing.T) map[string]request {
	return map[string]request{
		"completion": func(c *Client, addr, runID string) error {
			return c.Stream(t.Context(), addr, runID, []byte("{}"), func(Event) error { return nil })
		},
		"call": func(c *Client, addr, runID string) error {
			_, err := c.CallService(addr, runID, ServiceRequest{Method: "POST", Path: "/x"})
			return err
		},
	}
}

// TestUnnamedAnswerOnAUsedConnection guards against a copy of an earlier answer being taken
// for the answer to the request in flight.
func TestUnnamedAnswerOnAUsedConnection(t *testing.T) {
	for kind, send := range requests(t) {
		for _, status := range []int{200, 400, 408, 421, 429, 500, 503} {
			for _, fields := range []string{"", notRunField, runField("a"), notRunField + runField("a")} {
				t.Run(fmt.Sprintf("%s/%d %q", kind, status, fields), func(t *testing.T) {
					tg := newRawTarget(t, func(n int, runID string) string {
						own := rawResponse(200, runField(runID), wholeEvents)
						if n == 0 {
							return own
						}
						return rawResponse(status, fields, "copy") + own
					})
					c := &Client{}
					defer c.Close()
					assert.NilError(t, send(c, tg.Addr(), "a"))
					err := send(c, tg.Addr(), "b")
					assert.Assert(t, err != nil)
					assert.Equal(t, RunStateOf(err), answer.Unknown, "%v", err)
					assert.Equal(t, tg.Conns(), int64(1))
					assert.NilError(t, send(c, tg.Addr(), "c"))
					assert.Equal(t, tg.Conns(), int64(2), "the connection was used again")
				})
			}
		}
	}
}

// TestRefusalOnTheFirstExchange checks that a refusal without an id counts on a connection
// that has carried nothing before, and that one that names the request counts on any.
func TestRefusalOnTheFirstExchange(t *testing.T) {
	for kind, send := range requests(t) {
		for _, named := range []bool{true, false} {
			t.Run(fmt.Sprint(kind, "/named ", named), func(t *testing.T) {
				tg := newRawTarget(t, func(_ int, runID string) string {
					fields := notRunField
					if named {
						fields += runField(runID)
					}
					return rawResponse(503, fields, "full")
				})
				c := &Client{}
				defer c.Close()
				for _, runID := range []string{"a", "b", "c"} {
					assert.Equal(t, RunStateOf(send(c, tg.Addr(), runID)), answer.NotRun)
				}
			})
		}
	}
}

// TestRefusalOfAnotherCallThatMayRunOnce guards against a refusal that names another call
// being taken for one of this call, on a new connection too.
func TestRefusalOfAnotherCallThatMayRunOnce(t *testing.T) {
	tg := newRawTarget(t, func(int, string) string { return rawResponse(503, notRunField+runField("a"), "full") })
	c := &Client{}
	_, err := c.CallService(tg.Addr(), "b", ServiceRequest{Method: "POST", Path: "/x", NewConn: true})
	assert.Equal(t, RunStateOf(err), answer.Unknown, "%v", err)
}

// TestServiceThatNamesNoCalls guards against an answer of a service that names no calls being
// taken for the answer to a later call: its connections are not used again.
func TestServiceThatNamesNoCalls(t *testing.T) {
	tg := newRawTarget(t, func(int, string) string { return rawResponse(200, "", "own") })
	c := &Client{}
	defer c.Close()
	for n := range 3 {
		r, err := c.CallService(tg.Addr(), fmt.Sprint("call", n), ServiceRequest{Method: "POST", Path: "/x"})
		assert.NilError(t, err)
		assert.Equal(t, string(r.Body), "own")
		assert.Equal(t, tg.Conns(), int64(n+1))
	}
}
