package gateway

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/standin/engine"
	"rosevalve/internal/target/balance"
)

const (
	silentEngine  = "10.0.1.1:80" // gets the request and falls silent
	otherEngine   = "10.0.1.2:80" // gets the second attempt, if there is one
	silentService = "10.0.2.1:80"
	silentRouter  = "10.0.0.1:80"

	silence = 1600 * time.Millisecond

	// Time-outs of a router, as the settings have them.
	usualFirstByte = 30 * time.Second
	usualProgress  = 10 * time.Second
)

// engineMoments are the moments of a completion at which an engine falls silent.
var engineMoments = map[string]moment{
	"in the request":         {requestBytes: 100},
	"before the head":        {},
	"in the head":            {answerUpTo: "HTTP/1.1 2", n: 1},
	"before the first event": {answerUpTo: "\r\n\r\n", n: 1},
	"in an event":            {answerUpTo: `"content":`, n: 2},
	"between events":         {answerUpTo: "\n\n", n: 2},
	"before the usage":       {answerUpTo: `"finish_reason":"length"`, n: 1},
	"before the last event":  {answerUpTo: `"usage":{`, n: 1},
	"before the last chunk":  {answerUpTo: chat.DoneEvent, n: 1},
}

// callMoments are the moments of a call at which a plain service falls silent.
var callMoments = map[string]moment{
	"in the request":  {requestBytes: 100},
	"before the head": {},
	"in the head":     {answerUpTo: "HTTP/1.1 2", n: 1},
	"before the body": {answerUpTo: "\r\n\r\n", n: 1},
	"in the body":     {answerUpTo: `{"path"`, n: 1},
}

// secondAttempts are what a second attempt meets at the other engine.
var secondAttempts = map[string]func(*testFleet){
	"answered":                   func(*testFleet) {},
	"refused":                    func(f *testFleet) { f.engines[otherEngine].SetFault(engine.Fault{Decline: true}) },
	"refused with a time":        answersWith("HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Run-Id: %s\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"),
	"failed":                     answersWith("HTTP/1.1 500 X\r\nX-Run-Id: %s\r\nContent-Length: 0\r\n\r\n"),
	"closed":                     answersWith(""),
	"broken off in the head":     answersWith("HTTP/1.1 200 OK\r\nX-Run"),
	"broken off after the head":  answersWith("HTTP/1.1 200 OK\r\nX-Run-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n"),
	"broken off after one event": answersWith("HTTP/1.1 200 OK\r\nX-Run-Id: %s\r\nContent-Length: 1000\r\n\r\ndata: {\"id\":\"x\",\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n"),
	"silent too":                 func(f *testFleet) { f.listeners[otherEngine].gate.closeAt(moment{}, silence) },
	"not reached":                func(f *testFleet) { f.killTarget(otherEngine) },
}

// answersWith replaces the other engine by one that answers each request with the text, in which %s
// stands for the id of the run, and closes the connection.
func answersWith(text string) func(*testFleet) {
	return func(f *testFleet) {
		f.killTarget(otherEngine)
		f.serve(otherEngine, func(l net.Listener) error {
			for {
				c, err := l.Accept()
				if err != nil {
					return err
				}
				go answerOnce(c, text)
			}
		})
	}
}

func answerOnce(c net.Conn, text string) {
	defer func() { _ = c.Close() }()
	var req fasthttp.Request
	if req.Read(bufio.NewReader(c)) != nil {
		return
	}
	_, _ = c.Write([]byte(strings.Replace(text, "%s", string(req.Header.Peek(chat.HeaderRun)), 1)))
}

// prefer makes the router send requests to the target at addr if that has a free slot.
func (n *node) prefer(addr string) {
	n.targets.Choose = func(_ uint64, _ float64, candidates []balance.Candidate) int {
		chosen := -1
		for i, c := range candidates {
			if c.HasSlot && (chosen < 0 || c.Hash == balance.Hash(addr)) {
				chosen = i
			}
		}
		return chosen
	}
}

// withSilentTarget runs f with a fleet of one router whose first attempt goes to the target at addr. The
// connection to it has carried a request before if warm is set.
func withSilentTarget(t *testing.T, addr, path string, warm bool, f func(t *testing.T, fleet *testFleet)) {
	withTestFleet(t, 1, func(t *testing.T, fleet *testFleet) {
		n := fleet.nodes[0]
		n.client.FirstByteTimeout, n.client.ProgressTimeout = usualFirstByte, usualProgress
		n.prefer(addr)
		if warm {
			assert.Equal(t, n.send(path, completionBody("warm")).status, fasthttp.StatusOK)
		}
		f(t, fleet)
	})
}

// streamBodyOf returns a request for the stream of the completion with the key.
func streamBodyOf(key string) string {
	return strings.Replace(completionBody(key), "{", `{"stream":true,`, 1)
}

// streamText returns the text of a streamed completion, or "" if that has not ended as complete.
func (r reply) streamText() string {
	text := ""
	for _, event := range strings.Split(string(r.body), "\n\n") {
		data, _ := strings.CutPrefix(event, "data: ")
		if data == chat.DoneEvent {
			return text
		}
		var c chat.Chunk
		if json.Unmarshal([]byte(data), &c) != nil {
			return ""
		}
		for _, part := range c.Choices {
			text += part.Delta.Content
		}
	}
	return ""
}

// checkWhole asserts that the reply is the whole answer to the completion with the key.
func (r reply) checkWhole(t *testing.T, key string, stream bool) {
	t.Helper()
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, fasthttp.StatusOK, "%s", r.body)
	got := r.text()
	if stream {
		got = r.streamText()
	}
	assert.Equal(t, got, wantText(key), "%s", r.body)
}

// checkOneRun asserts that the request with the id ran once, at the engine that fell silent, and was
// billed so.
func (f *testFleet) checkOneRun(t *testing.T, id string) {
	t.Helper()
	assert.Equal(t, f.engineRuns(id), 1)
	assert.Equal(t, f.engines[silentEngine].CountsNow().Runs[id], 1)
	assert.NilError(t, f.nodes[0].tokens.Settle(f.runCtx))
	billed := 0
	for _, bill := range f.bills(t) {
		if bill.RequestID == id {
			billed++
			assert.Equal(t, bill.CompletionTokens, int64(testTokens))
		}
	}
	assert.Equal(t, billed, 1)
}

// completeBesideSilence sends a completion whose engine falls silent at the moment, with its whole machine if
// machine is set, and asserts that its answer is whole and comes from one run at that engine.
func completeBesideSilence(t *testing.T, at moment, second func(*testFleet), stream, warm, machine bool) {
	t.Helper()
	withSilentTarget(t, silentEngine, chat.PathCompletions, warm, func(t *testing.T, fleet *testFleet) {
		second(fleet)
		g := fleet.listeners[silentEngine].gate
		g.machine = machine
		g.closeAt(at, silence)
		body := completionBody("a")
		if stream {
			body = streamBodyOf("a")
		}
		r := fleet.nodes[0].send(chat.PathCompletions, body)
		assert.Assert(t, g.hasClosed(), "the engine was not silent")
		r.checkWhole(t, "a", stream)
		fleet.checkOneRun(t, r.requestID)
	})
}

// TestAnswerOfAnEngineThatIsSilentForASecond guards against a run at an engine that falls silent and goes on
// being given up before its replacement has answered.
func TestAnswerOfAnEngineThatIsSilentForASecond(t *testing.T) {
	for momentName, at := range engineMoments {
		for secondName, second := range secondAttempts {
			for n := range 8 {
				stream, warm, machine := n&1 != 0, n&2 != 0, n&4 != 0
				t.Run(fmt.Sprintf("%s/%s/stream=%t/kept=%t/machine=%t", momentName, secondName, stream, warm, machine), func(t *testing.T) {
					completeBesideSilence(t, at, second, stream, warm, machine)
				})
			}
		}
	}
}

// TestAnswerOfAServiceThatIsSilentForASecond guards against a call at a plain service that falls silent and goes on
// being given up or repeated.
func TestAnswerOfAServiceThatIsSilentForASecond(t *testing.T) {
	for momentName, at := range callMoments {
		for _, path := range []string{idempotentPath, "/hold"} {
			for _, warm := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s%s/kept=%t", momentName, path, warm), func(t *testing.T) {
					withSilentTarget(t, silentService, "/v1/services/beds"+idempotentPath, warm, func(t *testing.T, fleet *testFleet) {
						g := fleet.listeners[silentService].gate
						g.closeAt(at, silence)
						r := fleet.nodes[0].send("/v1/services/beds"+path, "{}")
						assert.Assert(t, g.hasClosed(), "the service was not silent")
						assert.NilError(t, r.err)
						assert.Equal(t, r.status, fasthttp.StatusOK, "%s", r.body)
						calls, _ := fleet.serviceRuns()
						assert.Equal(t, calls[r.requestID], 1)
					})
				})
			}
		}
	}
}

// TestAnswerFromARouterThatIsSilentForASecond guards against a caller losing its answer as the router that executes
// its run falls silent and goes on, while another relays the run.
func TestAnswerFromARouterThatIsSilentForASecond(t *testing.T) {
	for momentName, at := range engineMoments {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/stream=%t", momentName, stream), func(t *testing.T) {
				withTestFleet(t, 2, func(t *testing.T, fleet *testFleet) {
					for _, n := range fleet.nodes {
						n.prefer(silentEngine)
					}
					body := completionBody("a")
					if stream {
						body = streamBodyOf("a")
					}
					var wait sync.WaitGroup
					var own reply
					wait.Go(func() { own = fleet.nodes[0].send(chat.PathCompletions, body, HeaderKey, "a") })
					time.Sleep(testInterval / 2)
					g := fleet.listeners[silentRouter].gate
					g.closeAt(at, silence)
					r := fleet.nodes[1].send(chat.PathCompletions, body, HeaderKey, "a")
					wait.Wait()
					assert.Assert(t, g.hasClosed(), "the router was not silent")
					r.checkWhole(t, "a", stream)
					own.checkWhole(t, "a", stream)
					fleet.checkOneRun(t, own.requestID)
				})
			})
		}
	}
}
