package gateway

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/standin/engine"
	"rosevalve/internal/target/balance"
)

const (
	silentEngine  = "10.0.1.1:80" // gets the request and falls silent
	otherEngine   = "10.0.1.2:80" // gets the second attempt, if there is one
	silentService = "10.0.2.1:80"
	silentRouter  = "10.0.0.1:80"
	tableAddr     = "table" // stands for the table where an address names a process

	brokenAfterEvent = "broken off after one event" // key of secondAttempts

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
	"answered":                  func(*testFleet) {},
	"refused":                   func(f *testFleet) { f.engines[otherEngine].SetFault(engine.Fault{Decline: true}) },
	"refused with a time":       answersWith("HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Run-Id: %s\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"),
	"failed":                    answersWith("HTTP/1.1 500 X\r\nX-Run-Id: %s\r\nContent-Length: 0\r\n\r\n"),
	"closed":                    answersWith(""),
	"broken off in the head":    answersWith("HTTP/1.1 200 OK\r\nX-Run"),
	"broken off after the head": answersWith("HTTP/1.1 200 OK\r\nX-Run-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n"),
	brokenAfterEvent:            answersWith("HTTP/1.1 200 OK\r\nX-Run-Id: %s\r\nContent-Length: 1000\r\n\r\ndata: {\"id\":\"x\",\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n"),
	"silent too":                func(f *testFleet) { f.listeners[otherEngine].gate.closeAt(moment{}, silence) },
	"not reached":               func(f *testFleet) { f.killTarget(otherEngine) },
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

// relayMoments are the moments of a relayed call at which the router that executes it falls silent.
var relayMoments = map[string]moment{
	"in the request":         {requestBytes: 100},
	"before the head":        {},
	"in the head":            {answerUpTo: "HTTP/1.1 2", n: 1},
	"before the first event": {answerUpTo: "\r\n\r\n", n: 1},
	"in an event":            {answerUpTo: "data: ", n: 1},
	"before the last event":  {answerUpTo: "\n\n", n: 1},
}

// TestCallAtARouterThatIsSilentForASecond guards against a call that may run at most once being run twice, or getting no
// outcome, as the router that executes it falls silent and goes on, while another relays it.
func TestCallAtARouterThatIsSilentForASecond(t *testing.T) {
	for name, at := range relayMoments {
		t.Run(name, func(t *testing.T) {
			withTestFleet(t, 2, func(t *testing.T, fleet *testFleet) {
				for _, s := range fleet.services {
					s.Delay = silence / 2
				}
				var wait sync.WaitGroup
				var own reply
				wait.Go(func() { own = fleet.nodes[0].send("/v1/services/beds/hold", "{}", HeaderKey, "a") })
				time.Sleep(testInterval)
				g := fleet.listeners[silentRouter].gate
				g.closeAt(at, silence)
				r := fleet.nodes[1].send("/v1/services/beds/hold", "{}", HeaderKey, "a")
				wait.Wait()
				assert.Assert(t, g.hasClosed(), "the router was not silent")
				for _, got := range []reply{own, r} {
					assert.NilError(t, got.err)
					assert.Equal(t, got.status, fasthttp.StatusOK, "%s", got.body)
				}
				assert.Equal(t, string(r.body), string(own.body))
				_, paths := fleet.serviceRuns()
				assert.Equal(t, paths["/hold"], 1)
			})
		})
	}
}

// TestRunTakenOverAtASilentEngine guards against a run being lost whose router dies while its engine is silent.
func TestRunTakenOverAtASilentEngine(t *testing.T) {
	for _, stream := range []bool{false, true} {
		for second, prepare := range secondAttempts {
			t.Run(fmt.Sprintf("%s/stream=%t", second, stream), func(t *testing.T) {
				withTestFleet(t, 2, func(t *testing.T, fleet *testFleet) {
					for _, n := range fleet.nodes {
						n.client.FirstByteTimeout, n.client.ProgressTimeout = usualFirstByte, usualProgress
						n.prefer(silentEngine)
					}
					prepare(fleet)
					body := completionBody("a")
					if stream {
						body = streamBodyOf("a")
					}
					go fleet.nodes[0].send(chat.PathCompletions, body, HeaderKey, "a")
					time.AfterFunc(2*testInterval+testInterval/2, func() {
						fleet.listeners[silentEngine].gate.closeNow(silence)
						fleet.nodes[0].kill()
					})
					time.Sleep(testInterval / 2)
					r := fleet.nodes[1].send(chat.PathCompletions, body, HeaderKey, "a")
					r.checkWhole(t, "a", stream)
					for id, n := range fleet.engines[silentEngine].CountsNow().Runs {
						assert.Equal(t, n, 1, id)
					}
				})
			})
		}
	}
}

// TestRequestToAMachineThatIsSilentForASecond guards against a request getting neither an answer nor a refusal, or a
// stream's header and no event, that arrives while the machine of its target takes no connections, and against a call running twice.
func TestRequestToAMachineThatIsSilentForASecond(t *testing.T) {
	for second, prepare := range secondAttempts {
		for _, warm := range []bool{false, true} {
			for _, stream := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/kept=%t/stream=%t", second, warm, stream), func(t *testing.T) {
					withSilentTarget(t, silentEngine, chat.PathCompletions, warm, func(t *testing.T, fleet *testFleet) {
						prepare(fleet)
						r := completeAtSilentMachine(t, fleet, stream)
						brokenOff := second == brokenAfterEvent && stream && !warm
						assert.Equal(t, strings.Contains(string(r.body), `"error"`), r.status != fasthttp.StatusOK || brokenOff, "%s", r.body)
						if r.status == fasthttp.StatusOK && !brokenOff {
							r.checkWhole(t, "a", stream)
						}
						callAtSilentMachine(t, fleet)
					})
				})
			}
		}
	}
}

func completeAtSilentMachine(t *testing.T, fleet *testFleet, stream bool) reply {
	t.Helper()
	g := fleet.listeners[silentEngine].gate
	g.machine = true
	g.closeNow(silence)
	body := completionBody("a")
	if stream {
		body = streamBodyOf("a")
	}
	r := fleet.nodes[0].send(chat.PathCompletions, body)
	assert.NilError(t, r.err)
	assert.NilError(t, checkRunState(fleet, r))
	return r
}

func callAtSilentMachine(t *testing.T, fleet *testFleet) {
	t.Helper()
	fleet.nodes[0].prefer(silentService)
	g := fleet.listeners[silentService].gate
	g.machine = true
	g.closeNow(silence)
	r := fleet.nodes[0].send("/v1/services/beds/hold", "{}")
	assert.NilError(t, r.err)
	assert.NilError(t, checkRunState(fleet, r))
	_, paths := fleet.serviceRuns()
	assert.Assert(t, paths["/hold"] <= 1)
}

// drawSilences draws a history of requests, pauses and silences of 1 to 2 s. Either requests are repeated at
// other routers, or all engines refuse new runs at times: a router that takes over a run that was refused a
// moment ago does not know whether it ran.
func drawSilences(t *rapid.T) []step {
	kinds := []string{"complete", "complete", "hold", "hold", "wait", "silence"}
	repeats := rapid.Bool().Draw(t, "repeats")
	if !repeats {
		kinds = append(kinds, "decline", "accept")
	}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step { return drawSilentStep(t, kinds, repeats) }), 1, 40).Draw(t, "steps")
}

func drawSilentStep(t *rapid.T, kinds []string, repeats bool) step {
	const keys = 6 // at each router
	s := step{Kind: rapid.SampledFrom(kinds).Draw(t, "kind")}
	s.Router = rapid.IntRange(0, 2).Draw(t, "router")
	s.Key = rapid.IntRange(0, keys-1).Draw(t, "key")
	if !repeats {
		s.Key += s.Router * keys
	}
	s.Wait = time.Duration(rapid.IntRange(1, 300).Draw(t, "wait")) * 5 * time.Millisecond
	if s.Kind == "silence" {
		s.Wait = time.Duration(rapid.IntRange(1000, 2000).Draw(t, "silence")) * time.Millisecond
		s.Silent = rapid.SampledFrom([]string{
			"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80", "10.0.1.1:80", "10.0.1.2:80", "10.0.2.1:80", "10.0.2.2:80", tableAddr,
		}).Draw(t, "silent")
	}
	return s
}

// TestHistoriesOfSilences checks that silences of sound processes lose no answer: each request is answered or
// refused, and only a call may be told that its outcome is not known.
func TestHistoriesOfSilences(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSilences(rt)
		var err error
		synctest.Test(t, func(*testing.T) {
			err = runHistory(steps, func(fleet *testFleet) {
				for _, n := range fleet.nodes {
					n.client.FirstByteTimeout, n.client.ProgressTimeout = usualFirstByte, usualProgress
				}
				fleet.check = checkSilentReply
			})
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// checkSilentReply returns an error if a request that only met silences was neither answered nor refused.
func checkSilentReply(r record) error {
	code := r.errorBody().Error
	switch {
	case r.status == fasthttp.StatusOK || code.Run == answer.NotRun.String():
		return nil
	case r.kind == "hold" && code.Code == "outcome_unknown":
		return nil
	default:
		return fmt.Errorf("%s: answered %d %s", r.key, r.status, r.body)
	}
}
