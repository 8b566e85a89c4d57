package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosevalve/internal/standin/engine"
)

// step is one event of a history: a request, a fault or its end, or a pause.
type step struct {
	Kind   string
	Router int
	Key    int
	Conn   connFault
	Wait   time.Duration
	Silent string // address of the process that falls silent, or tableAddr
}

func drawStep(t *rapid.T) step {
	s := step{Kind: rapid.SampledFrom([]string{
		"complete", "complete", "complete", "hold", "hold", "hold", "wait", "wait", "conn", "conn",
		"outage", "back", "lost", "delayed", "kill", "kill engine", "decline", "accept",
	}).Draw(t, "kind")}
	s.Router = rapid.IntRange(0, 2).Draw(t, "router")
	s.Key = rapid.IntRange(0, 2).Draw(t, "key")
	s.Wait = time.Duration(rapid.IntRange(1, 60).Draw(t, "wait")) * 5 * time.Millisecond
	n := rapid.IntRange(1, 400).Draw(t, "point")
	s.Conn = rapid.SampledFrom([]connFault{{Refuse: true}, {CutWrite: n}, {CutRead: n}, {SilentRead: n}}).Draw(t, "conn")
	return s
}

// record is one request of a history with its answer.
type record struct {
	kind string
	key  string
	node *node
	reply
}

// runHistory executes the steps in a new fleet and returns the error of checkHistory.
func runHistory(steps []step, prepare func(*testFleet)) (err error) {
	fleet, err := newTestFleet(context.Background(), 3)
	if err != nil {
		return err
	}
	defer func() {
		fleet.close()
		time.Sleep(time.Hour)
	}()
	prepare(fleet)
	var mu sync.Mutex
	var records []record
	var wait sync.WaitGroup
	for _, s := range steps {
		if s.Kind != "complete" && s.Kind != "hold" {
			fleet.applyStep(s)
			continue
		}
		n := fleet.nodes[s.Router]
		wait.Go(func() {
			rec := record{kind: s.Kind, key: fmt.Sprint(s.Kind, s.Key), node: n}
			path := "/v1/chat/completions"
			if s.Kind == "hold" {
				path = "/v1/services/beds/" + rec.key
			}
			rec.reply = n.send(path, completionBody(rec.key), HeaderKey, rec.key)
			mu.Lock()
			defer mu.Unlock()
			records = append(records, rec)
		})
	}
	wait.Wait()
	return fleet.checkHistory(records)
}

func (f *testFleet) applyStep(s step) {
	switch s.Kind {
	case "wait":
		time.Sleep(s.Wait)
	case "kill":
		if f.members()[0].ID != f.nodes[s.Router].addr { // one router survives
			f.nodes[s.Router].kill()
		}
	case "kill engine":
		f.killTarget(fmt.Sprintf("10.0.1.%d:80", s.Key%testEngines+1))
	case "silence":
		if s.Silent == tableAddr {
			f.silenceTable(s.Wait)
		} else {
			f.listeners[s.Silent].gate.closeNow(s.Wait)
		}
	case "decline", "accept":
		for _, e := range f.engines {
			e.SetFault(engine.Fault{Decline: s.Kind == "decline"})
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch s.Kind {
	case "conn":
		f.faults = append(f.faults, s.Conn)
	case "outage", "back":
		f.tableOutage = s.Kind == "outage"
	case "lost":
		f.lostCommits++
	case "delayed":
		f.delayedCommits++
	}
}

// checkHistory compares the answers to the callers with the targets' own counts of runs.
func (f *testFleet) checkHistory(records []record) error {
	_, paths := f.serviceRuns()
	for path, n := range paths {
		if n > 1 {
			return fmt.Errorf("call %s ran %d times", path, n)
		}
	}
	outcomes := make(map[string]string)
	for _, r := range records {
		if r.err != nil && !r.node.isDead() {
			return fmt.Errorf("%s got no answer: %w", r.key, r.err)
		}
		if r.err != nil {
			continue
		}
		if err := f.checkReply(r, paths, outcomes); err != nil {
			return err
		}
		if f.check == nil {
			continue
		}
		if err := f.check(r); err != nil {
			return err
		}
	}
	return nil
}

func (f *testFleet) checkReply(r record, paths map[string]int, outcomes map[string]string) error {
	errBody := r.errorBody().Error
	switch {
	case r.status != fasthttp.StatusOK:
		if errBody.Run == "" || errBody.Run == "not_run" && errBody.RetryAfterS == 0 {
			return fmt.Errorf("%s: error answer %s lacks its run state or retry_after_s", r.key, r.body)
		}
		return checkRunState(f, r.reply)
	case r.kind == "complete":
		if r.text() != wantText(r.key) {
			return fmt.Errorf("%s: answer %s is not that of the request", r.key, r.body)
		}
	default:
		if known, ok := outcomes[r.key]; ok && known != string(r.body) {
			return fmt.Errorf("%s: answered %s and %s", r.key, known, r.body)
		}
		outcomes[r.key] = string(r.body)
		if paths["/"+r.key] != 1 {
			return fmt.Errorf("%s: answered %s, but ran %d times", r.key, r.body, paths["/"+r.key])
		}
	}
	return nil
}

func TestHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 40).Draw(rt, "steps")
		var err error
		synctest.Test(t, func(*testing.T) { err = runHistory(steps, func(*testFleet) {}) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// TestHistoriesFailWithoutMechanism checks that checkHistory finds the fault of one history
// for each mechanism that is disabled.
func TestHistoriesFailWithoutMechanism(t *testing.T) {
	hold := func(router int) step { return step{Kind: "hold", Router: router} }
	pause := step{Kind: "wait", Wait: 200 * time.Millisecond}
	tests := map[string]struct {
		disable func(*Gateway)
		steps   []step
	}{
		"claims": {
			disable: func(g *Gateway) { g.DisableClaims = true },
			steps:   []step{hold(2), pause, {Kind: "kill", Router: 2}, pause, hold(0), pause},
		},
		"state of the first attempt": {
			disable: func(g *Gateway) {
				call := g.Dispatcher.Call
				g.Dispatcher.Call = reportNotRun(call)
			},
			steps: []step{{Kind: "conn", Conn: connFault{CutRead: 2}}, hold(0), pause},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var errEnabled, errDisabled error
			synctest.Test(t, func(*testing.T) { errEnabled = runHistory(test.steps, func(*testFleet) {}) })
			assert.NilError(t, errEnabled)
			synctest.Test(t, func(*testing.T) {
				errDisabled = runHistory(test.steps, func(fleet *testFleet) {
					for _, n := range fleet.nodes {
						test.disable(n.gateway)
					}
				})
			})
			assert.Assert(t, errDisabled != nil, "the check passed without the mechanism")
		})
	}
}

// sendToTwoRouters sends a key to one router and, while it runs, to another one. It returns
// the number of runs that the engines have started and both replies.
func sendToTwoRouters(t *testing.T, prepare func(*testFleet), beforeSecond func(*testFleet), stream string) (runs int, replies []reply) {
	t.Helper()
	withTestFleet(t, 3, func(t *testing.T, fleet *testFleet) {
		prepare(fleet)
		var wait sync.WaitGroup
		body := completionBody("a")
		if stream != "" {
			body = body[:len(body)-1] + `,"stream":true}`
		}
		replies = make([]reply, 2)
		wait.Go(func() { replies[0] = fleet.nodes[0].send("/v1/chat/completions", body, HeaderKey, "a") })
		time.Sleep(2*testInterval + testInterval/2)
		beforeSecond(fleet)
		wait.Go(func() { replies[1] = fleet.nodes[1].send("/v1/chat/completions", body, HeaderKey, "a") })
		wait.Wait()
		time.Sleep(time.Second)
		for _, e := range fleet.engines {
			for _, n := range e.CountsNow().Runs {
				runs += n
			}
		}
		for _, n := range fleet.nodes {
			_ = n.tokens.Settle(context.Background())
		}
		bills := fleet.bills(t)
		assert.Equal(t, len(bills), 1)
		assert.Equal(t, bills["a"].CompletionTokens, int64(testTokens))
	})
	return runs, replies
}

func TestRepeatAtAnotherRouter(t *testing.T) {
	noop := func(*testFleet) {}
	killFirst := func(fleet *testFleet) { fleet.nodes[0].kill() }
	disableDirectory := func(fleet *testFleet) {
		for _, n := range fleet.nodes {
			n.gateway.Directory = nil
		}
	}
	t.Run("reads the running answer", func(t *testing.T) {
		runs, replies := sendToTwoRouters(t, noop, noop, "")
		assert.Equal(t, runs, 1)
		assert.Equal(t, replies[1].text(), wantText("a"), "%s", replies[1].body)
		assert.Equal(t, string(replies[0].body), string(replies[1].body))
	})
	t.Run("replays the finished answer", func(t *testing.T) {
		runs, replies := sendToTwoRouters(t, noop, func(*testFleet) { time.Sleep(time.Second) }, "")
		assert.Equal(t, runs, 1)
		assert.Equal(t, string(replies[0].body), string(replies[1].body))
	})
	t.Run("takes over from a dead router", func(t *testing.T) {
		runs, replies := sendToTwoRouters(t, noop, killFirst, "")
		assert.Equal(t, runs, 1)
		assert.Equal(t, replies[1].text(), wantText("a"), "%s", replies[1].body)
	})
	t.Run("takes over when the router dies later", func(t *testing.T) {
		killFirstLater := func(fleet *testFleet) { time.AfterFunc(testInterval, func() { killFirst(fleet) }) }
		runs, replies := sendToTwoRouters(t, noop, killFirstLater, "")
		assert.Equal(t, runs, 1)
		assert.Equal(t, replies[1].text(), wantText("a"), "%s", replies[1].body)
	})
	t.Run("streams", func(t *testing.T) {
		_, replies := sendToTwoRouters(t, noop, noop, "stream")
		assert.Equal(t, string(replies[0].body), string(replies[1].body))
	})
	t.Run("runs twice without homes", func(t *testing.T) {
		runs, _ := sendToTwoRouters(t, disableDirectory, noop, "")
		assert.Equal(t, runs, 2)
	})
	t.Run("is billed once without homes", func(t *testing.T) {
		_, replies := sendToTwoRouters(t, disableDirectory, noop, "")
		assert.Assert(t, slices.ContainsFunc(replies, func(r reply) bool { return r.text() == wantText("a") }))
	})
}

// reuseKeyAtAnotherRouter sends a key with one body to a router and, after a pause, with
// another body to a second router.
func reuseKeyAtAnotherRouter(t *testing.T, pause time.Duration, prepare func(*testFleet)) (first, second reply) {
	t.Helper()
	withTestFleet(t, 3, func(t *testing.T, fleet *testFleet) {
		prepare(fleet)
		var wait sync.WaitGroup
		wait.Go(func() { first = fleet.nodes[0].send("/v1/chat/completions", completionBody("a"), HeaderKey, "k") })
		time.Sleep(pause)
		second = fleet.nodes[1].send("/v1/chat/completions", completionBody("b"), HeaderKey, "k")
		wait.Wait()
	})
	return first, second
}

func TestKeyReusedAtAnotherRouter(t *testing.T) {
	const running, finished = 2*testInterval + testInterval/2, time.Second
	for name, pause := range map[string]time.Duration{"while it runs": running, "when it has finished": finished} {
		t.Run(name, func(t *testing.T) {
			first, second := reuseKeyAtAnotherRouter(t, pause, func(*testFleet) {})
			assert.Equal(t, first.text(), wantText("a"), "%s", first.body)
			assert.Equal(t, second.status, fasthttp.StatusUnprocessableEntity, "%s", second.body)
			assert.Equal(t, second.errorBody().Error.Run, "not_run")
		})
	}
	t.Run("is not noticed without homes", func(t *testing.T) {
		_, second := reuseKeyAtAnotherRouter(t, running, func(fleet *testFleet) {
			for _, n := range fleet.nodes {
				n.gateway.Directory = nil
			}
		})
		assert.Equal(t, second.text(), wantText("b"), "%s", second.body)
	})
}
