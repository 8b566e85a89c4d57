package gateway

import (
	"bytes"
	"expvar"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/standin/engine"
)

// eventsBeforeBreak is the number of tokens after which a stream is broken off.
const eventsBeforeBreak = 10

// TestLogTellsWhyAStreamEnds guards against a stream that ends without its end and without a line that tells why.
func TestLogTellsWhyAStreamEnds(t *testing.T) {
	tests := map[string]struct {
		breakOff func(*testing.T, *testFleet)
		headers  []string
		lines    []string
		reason   string // of the metric
	}{
		"the target breaks off": {
			breakOff: func(_ *testing.T, f *testFleet) { f.killTarget(silentEngine); f.killTarget(otherEngine) },
			lines:    []string{"attempt failed attempt=ID target=10.0.1.1:80 end=broken_off run=", "request given up request_id=ID attempts=2 reason=no_target", "stream broken request_id=ID reason=target_failed run=ran events="},
			reason:   "target_failed",
		},
		"the target is silent for too long": {
			breakOff: func(_ *testing.T, f *testFleet) { f.setEngineFault(engine.Fault{Silent: true}) },
			lines:    []string{"attempt failed attempt=ID target=10.0.1.1:80 end=silent run=", "request given up request_id=ID attempts=2 reason=no_target", "stream broken request_id=ID reason=target_failed run=ran events="},
			reason:   "target_failed",
		},
		"no retry is left": {
			breakOff: func(_ *testing.T, f *testFleet) {
				f.nodes[0].gateway.Dispatcher.Retries.Burst = 0.5
				f.setEngineFault(engine.Fault{Silent: true})
			},
			lines:  []string{"request given up request_id=ID attempts=1 reason=retry_denied", "stream broken request_id=ID reason=target_failed run=ran events="},
			reason: "target_failed",
		},
		"the caller leaves": {
			breakOff: func(t *testing.T, f *testFleet) {
				f.mu.Lock()
				defer f.mu.Unlock()
				assert.NilError(t, f.conns[0].Close())
			},
			lines:  []string{"request given up request_id=ID attempts=1 reason=ended", "stream broken request_id=ID reason=caller_left run=unknown events="},
			reason: "caller_left",
		},
		"the time is over": {
			breakOff: func(*testing.T, *testFleet) {},
			headers:  []string{HeaderDeadline, "300"},
			lines:    []string{"request given up request_id=ID attempts=1 reason=ended", "stream broken request_id=ID reason=deadline_exceeded run=ran events="},
			reason:   "deadline_exceeded",
		},
		"the router stops": {
			breakOff: func(t *testing.T, f *testFleet) { stopAtLimit(t, f.nodes[0]) },
			lines:    []string{"run cut off request_id=ID workspace="},
			reason:   "stopped",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withTestFleet(t, 1, func(t *testing.T, fleet *testFleet) {
				defer fleet.setEngineFault(engine.Fault{})
				n := fleet.nodes[0]
				n.prefer(silentEngine)
				var text bytes.Buffer
				n.gateway.Log = log.New(&text)
				n.gateway.Dispatcher.Log = n.gateway.Log
				before := countOf(brokenStreams, test.reason)
				var wait sync.WaitGroup
				var r reply
				wait.Go(func() { r = n.send(chat.PathCompletions, longBody("a", `"stream":true,`), test.headers...) })
				time.Sleep(eventsBeforeBreak*testInterval + testInterval/2)
				test.breakOff(t, fleet)
				wait.Wait()
				time.Sleep(time.Minute)
				synctest.Wait()
				assert.Assert(t, !strings.Contains(string(r.body), chat.DoneEvent))
				event := "stream broken"
				if test.reason == errStopped.Code {
					event = "run cut off"
				}
				id := runIDIn(text.String(), event)
				for _, line := range test.lines {
					assert.Assert(t, strings.Contains(text.String(), strings.ReplaceAll(line, "ID", id)), "%q is not in\n%s", line, text.String())
				}
				assert.Equal(t, strings.Count(text.String(), "stream broken ")+strings.Count(text.String(), "run cut off "), 1)
				assert.Equal(t, countOf(brokenStreams, test.reason), before+1)
			})
		})
	}
}

// countOf returns the count of the key, or 0 if there is none.
func countOf(m *expvar.Map, key string) int64 {
	if n, ok := m.Get(key).(*expvar.Int); ok {
		return n.Value()
	}
	return 0
}

// setEngineFault sets the fault of all engines.
func (f *testFleet) setEngineFault(fault engine.Fault) {
	for _, e := range f.engines {
		e.SetFault(fault)
	}
}

// runIDIn returns the id of the run in the line of the log for an event.
func runIDIn(text, event string) string {
	_, rest, _ := strings.Cut(text, event+" request_id=")
	id, _, _ := strings.Cut(rest, " ")
	return id
}
