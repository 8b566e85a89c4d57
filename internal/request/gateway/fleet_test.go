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

// step is one event of a history: a fault, a request, or time that passes.
type step struct {
	Kind   string
	Router int
	Key    int
	Conn   connFault
	Wait   time.Duration
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

// record is a request of a history with its answer.
type record struct {
	kind string
	key  string
	node *node
	reply
}

// history plays the steps in a new world and returns the oracle's verdict.
func history(steps []step, prepare func(*world)) (err error) {
	w, err := newWorld(context.Background(), 3)
	if err != nil {
		return err
	}
	defer func() {
		w.close()
		time.Sleep(time.Hour)
	}()
	prepare(w)
	var mu sync.Mutex
	var records []record
	var wait sync.WaitGroup
	for _, s := range steps {
		if s.Kind != "complete" && s.Kind != "hold" {
			w.apply(s)
			continue
		}
		n := w.nodes[s.Router]
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
	return w.judge(records)
}

func (w *world) apply(s step) {
	switch s.Kind {
	case "wait":
		time.Sleep(s.Wait)
	case "kill":
		if w.members()[0].ID != w.nodes[s.Router].addr { // someone survives
			w.nodes[s.Router].kill()
		}
	case "kill engine":
		w.killTarget(fmt.Sprintf("10.0.1.%d:80", s.Key%testEngines+1))
	case "decline", "accept":
		for _, e := range w.engines {
			e.SetFault(engine.Fault{Decline: s.Kind == "decline"})
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch s.Kind {
	case "conn":
		w.faults = append(w.faults, s.Conn)
	case "outage", "back":
		w.outage = s.Kind == "outage"
	case "lost":
		w.lost++
	case "delayed":
		w.delayed++
	}
}

// judge compares what callers were told with the targets' own counts.
func (w *world) judge(records []record) error {
	_, paths := w.serviceRuns()
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
		if err := w.judgeReply(r, paths, outcomes); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) judgeReply(r record, paths map[string]int, outcomes map[string]string) error {
	refused := r.refusal().Error
	switch {
	case r.status != fasthttp.StatusOK:
		if refused.Run == "" || refused.Run == "not_run" && refused.RetryAfterS == 0 {
			return fmt.Errorf("%s: refusal %s lacks its state or when to come back", r.key, r.body)
		}
		return checkTruth(w, r.reply)
	case r.kind == "complete":
		if r.text() != wantText(r.key) {
			return fmt.Errorf("%s: answer %s is not its own", r.key, r.body)
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
		synctest.Test(t, func(*testing.T) { err = history(steps, func(*world) {}) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// TestHistoriesFailWithoutMechanism plays one history for each mechanism that is switched off.
func TestHistoriesFailWithoutMechanism(t *testing.T) {
	hold := func(router int) step { return step{Kind: "hold", Router: router} }
	pause := step{Kind: "wait", Wait: 200 * time.Millisecond}
	tests := map[string]struct {
		off   func(*Gateway)
		steps []step
	}{
		"claims": {
			off:   func(g *Gateway) { g.Unclaimed = true },
			steps: []step{hold(2), pause, {Kind: "kill", Router: 2}, pause, hold(0), pause},
		},
		"state of the first attempt": {
			off: func(g *Gateway) {
				answered := g.Dispatcher.Call
				g.Dispatcher.Call = assumeNotRun(answered)
			},
			steps: []step{{Kind: "conn", Conn: connFault{CutRead: 2}}, hold(0), pause},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var with, without error
			synctest.Test(t, func(*testing.T) { with = history(test.steps, func(*world) {}) })
			assert.NilError(t, with)
			synctest.Test(t, func(*testing.T) {
				without = history(test.steps, func(w *world) {
					for _, n := range w.nodes {
						test.off(n.gateway)
					}
				})
			})
			assert.Assert(t, without != nil, "the oracle did not notice")
		})
	}
}

// sentTo returns how many runs the engines began for a key that is sent to one router and then another.
func sentTo(t *testing.T, prepare func(*world), between func(*world), stream string) (runs int, replies []reply) {
	t.Helper()
	inWorld(t, 3, func(t *testing.T, w *world) {
		prepare(w)
		var wait sync.WaitGroup
		body := completionBody("a")
		if stream != "" {
			body = body[:len(body)-1] + `,"stream":true}`
		}
		replies = make([]reply, 2)
		wait.Go(func() { replies[0] = w.nodes[0].send("/v1/chat/completions", body, HeaderKey, "a") })
		time.Sleep(2*testInterval + testInterval/2)
		between(w)
		wait.Go(func() { replies[1] = w.nodes[1].send("/v1/chat/completions", body, HeaderKey, "a") })
		wait.Wait()
		time.Sleep(time.Second)
		for _, e := range w.engines {
			for _, n := range e.CountsNow().Runs {
				runs += n
			}
		}
		for _, n := range w.nodes {
			_ = n.purse.Settle(context.Background())
		}
		bills := w.bills(t)
		assert.Equal(t, len(bills), 1)
		assert.Equal(t, bills["a"].CompletionTokens, int64(testTokens))
	})
	return runs, replies
}

func TestRepeatAtAnotherRouter(t *testing.T) {
	nothing := func(*world) {}
	killFirst := func(w *world) { w.nodes[0].kill() }
	noHomes := func(w *world) {
		for _, n := range w.nodes {
			n.gateway.Homes = nil
		}
	}
	t.Run("reads the running answer", func(t *testing.T) {
		runs, replies := sentTo(t, nothing, nothing, "")
		assert.Equal(t, runs, 1)
		assert.Equal(t, replies[1].text(), wantText("a"), "%s", replies[1].body)
		assert.Equal(t, string(replies[0].body), string(replies[1].body))
	})
	t.Run("replays the finished answer", func(t *testing.T) {
		runs, replies := sentTo(t, nothing, func(*world) { time.Sleep(time.Second) }, "")
		assert.Equal(t, runs, 1)
		assert.Equal(t, string(replies[0].body), string(replies[1].body))
	})
	t.Run("takes over from a dead router", func(t *testing.T) {
		runs, replies := sentTo(t, nothing, killFirst, "")
		assert.Equal(t, runs, 1)
		assert.Equal(t, replies[1].text(), wantText("a"), "%s", replies[1].body)
	})
	t.Run("takes over when the router dies later", func(t *testing.T) {
		later := func(w *world) { time.AfterFunc(testInterval, func() { killFirst(w) }) }
		runs, replies := sentTo(t, nothing, later, "")
		assert.Equal(t, runs, 1)
		assert.Equal(t, replies[1].text(), wantText("a"), "%s", replies[1].body)
	})
	t.Run("streams", func(t *testing.T) {
		_, replies := sentTo(t, nothing, nothing, "stream")
		assert.Equal(t, string(replies[0].body), string(replies[1].body))
	})
	t.Run("runs twice without homes", func(t *testing.T) {
		runs, _ := sentTo(t, noHomes, nothing, "")
		assert.Equal(t, runs, 2)
	})
	t.Run("is billed once without homes", func(t *testing.T) {
		_, replies := sentTo(t, noHomes, nothing, "")
		assert.Assert(t, slices.ContainsFunc(replies, func(r reply) bool { return r.text() == wantText("a") }))
	})
}

// reuseAtAnotherRouter sends a key with one body to a router and, after a pause, with another body to a second.
func reuseAtAnotherRouter(t *testing.T, pause time.Duration, prepare func(*world)) (first, second reply) {
	t.Helper()
	inWorld(t, 3, func(t *testing.T, w *world) {
		prepare(w)
		var wait sync.WaitGroup
		wait.Go(func() { first = w.nodes[0].send("/v1/chat/completions", completionBody("a"), HeaderKey, "k") })
		time.Sleep(pause)
		second = w.nodes[1].send("/v1/chat/completions", completionBody("b"), HeaderKey, "k")
		wait.Wait()
	})
	return first, second
}

func TestKeyReusedAtAnotherRouter(t *testing.T) {
	const running, finished = 2*testInterval + testInterval/2, time.Second
	for name, pause := range map[string]time.Duration{"while it runs": running, "when it has finished": finished} {
		t.Run(name, func(t *testing.T) {
			first, second := reuseAtAnotherRouter(t, pause, func(*world) {})
			assert.Equal(t, first.text(), wantText("a"), "%s", first.body)
			assert.Equal(t, second.status, fasthttp.StatusUnprocessableEntity, "%s", second.body)
			assert.Equal(t, second.refusal().Error.Run, "not_run")
		})
	}
	t.Run("is not noticed without homes", func(t *testing.T) {
		_, second := reuseAtAnotherRouter(t, running, func(w *world) {
			for _, n := range w.nodes {
				n.gateway.Homes = nil
			}
		})
		assert.Equal(t, second.text(), wantText("b"), "%s", second.body)
	})
}
