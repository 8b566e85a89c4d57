package gateway

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/standin/engine"
	"rosevalve/internal/target/runner"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.checks": "150"} {
		if flag.Lookup(name).Value.String() == flag.Lookup(name).DefValue {
			_ = flag.Set(name, value)
		}
	}
	// The library starts its clock with the first header, which must not be in a test's bubble.
	var header fasthttp.ResponseHeader
	_ = header.Header()
	os.Exit(m.Run())
}

// probeWait is long enough for the targets that a fault has ejected to be probed, so that every fault meets a target.
const probeWait = 20 * time.Second

// inWorld runs f with a fleet in virtual time.
func inWorld(t *testing.T, routers int, f func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w, err := newWorld(context.Background(), routers)
		assert.NilError(t, err)
		defer func() {
			w.close()
			time.Sleep(time.Hour)
		}()
		f(t, w)
	})
}

// cutPoints are the faults of one connection at every few of its bytes.
func cutPoints(request, response, step int) []connFault {
	faults := []connFault{{Refuse: true}}
	for n := 1; n < request; n += step {
		faults = append(faults, connFault{CutWrite: n})
	}
	for n := 1; n < response; n += step {
		faults = append(faults, connFault{CutRead: n}, connFault{SilentRead: n})
	}
	return faults
}

// checkTruth fails if the reply is no whole answer and claims what the targets' counts refute.
func checkTruth(w *world, r reply) error {
	if r.err != nil || r.status == fasthttp.StatusOK {
		return nil
	}
	calls, _ := w.serviceRuns()
	ran := w.engineRuns(r.id) + calls[r.id]
	if state := r.refusal().Error.Run; state == answer.NotRun.String() && ran > 0 {
		return fmt.Errorf("refused with %s, but it ran %d times: %s", state, ran, r.body)
	}
	return nil
}

func TestWholeAnswerAtEveryCut(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		w.nodes[0].gateway.Dispatcher.Retries.Ratio = 1 // each request meets a fault
		for i, fault := range cutPoints(420, 1900, 13) {
			key := fmt.Sprintf("k%d", i)
			w.faults = []connFault{fault}
			r := w.nodes[0].send("/v1/chat/completions", completionBody(key), HeaderKey, key)
			assert.NilError(t, r.err)
			assert.Equal(t, r.status, fasthttp.StatusOK, "fault %+v: %s", fault, r.body)
			assert.Equal(t, r.text(), wantText(key), "fault %+v", fault)
			time.Sleep(time.Minute) // the idle connection is closed, so that the next fault is met
		}
		assert.NilError(t, w.nodes[0].purse.Settle(context.Background()))
		for key, bill := range w.bills(t) {
			assert.Equal(t, bill.CompletionTokens, int64(testTokens), key)
		}
	})
}

// callAtEveryCut makes a call that may run once at every cut and repeats it at another router.
func callAtEveryCut(t *testing.T, w *world) error {
	t.Helper()
	for _, n := range w.nodes {
		n.gateway.Dispatcher.Retries.Ratio = 1 // each request meets a fault
	}
	for i, fault := range cutPoints(260, 240, 5) {
		key := fmt.Sprintf("k%d", i)
		path := "/v1/services/beds/hold-" + key
		time.Sleep(probeWait)
		w.faults = []connFault{fault}
		first := w.nodes[0].send(path, "{}", HeaderKey, key)
		second := w.nodes[1].send(path, "{}", HeaderKey, key)
		_, paths := w.serviceRuns()
		if runs := paths["/hold-"+key]; runs > 1 {
			return fmt.Errorf("fault %+v: ran %d times", fault, runs)
		}
		for _, r := range []reply{first, second} {
			if err := checkTruth(w, r); err != nil {
				return fmt.Errorf("fault %+v: %w", fault, err)
			}
		}
		if first.status == fasthttp.StatusOK && string(first.body) != string(second.body) {
			return fmt.Errorf("fault %+v: repeated call answered %s, first %s", fault, second.body, first.body)
		}
	}
	return nil
}

func TestCallRunsOnceAtEveryCut(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		assert.NilError(t, callAtEveryCut(t, w))
	})
}

func TestCallRunsOnceFailsWithoutMechanism(t *testing.T) {
	for name, breakIt := range map[string]func(*Gateway){
		"claims": func(g *Gateway) { g.Unclaimed = true; g.Homes = nil },
		"rule of repetition": func(g *Gateway) {
			g.Dispatcher.MayRepeat = func(answer.RunState, bool) bool { return true }
		},
		"run states": func(g *Gateway) {
			g.Dispatcher.Call = assumeNotRun(g.Dispatcher.Call)
			g.Dispatcher.MayRepeat = func(answer.RunState, bool) bool { return false }
		},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 2, func(t *testing.T, w *world) {
				for _, n := range w.nodes {
					breakIt(n.gateway)
				}
				err := callAtEveryCut(t, w)
				assert.Assert(t, err != nil, "the oracle did not notice")
				t.Log(err)
			})
		})
	}
}

// assumeNotRun takes every failed call for one that did not run.
func assumeNotRun(call func(string, string, runner.Call) (runner.Result, error)) func(string, string, runner.Call) (runner.Result, error) {
	return func(addr, id string, c runner.Call) (runner.Result, error) {
		result, err := call(addr, id, c)
		if err != nil {
			err = &runner.Error{Run: answer.NotRun, Err: err}
		}
		return result, err
	}
}

func TestEngineFaults(t *testing.T) {
	tests := map[string]struct {
		fault engine.Fault
		code  string
	}{
		"cut after each token":  {fault: engine.Fault{CutAfter: 2}},
		"early end":             {fault: engine.Fault{EndAfter: 2}},
		"wrong usage":           {fault: engine.Fault{WrongUsage: true}},
		"no usage":              {fault: engine.Fault{NoUsage: true}},
		"short stall":           {fault: engine.Fault{StallMs: 1000}},
		"stall":                 {fault: engine.Fault{StallMs: 100_000}, code: "target_failed"},
		"crossed answers":       {fault: engine.Fault{Crossed: true}, code: "target_failed"},
		"events of another run": {fault: engine.Fault{CrossedEvents: true}, code: "target_failed"},
		"malformed events":      {fault: engine.Fault{Malformed: true}, code: "target_failed"},
		"declined":              {fault: engine.Fault{Decline: true}, code: "no_target"},
		"silent":                {fault: engine.Fault{Silent: true}, code: "target_failed"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 1, func(t *testing.T, w *world) {
				for _, e := range w.engines {
					e.SetFault(test.fault)
				}
				r := w.nodes[0].send("/v1/chat/completions", completionBody("a"), HeaderKey, "a")
				assert.NilError(t, r.err)
				assert.NilError(t, checkTruth(w, r))
				assert.Equal(t, r.refusal().Error.Code, test.code, "%s", r.body)
				if test.code == "" {
					assert.Equal(t, r.text(), wantText("a"))
				} else {
					assert.Assert(t, r.header("Retry-After") != "")
				}
				assert.NilError(t, w.nodes[0].purse.Settle(context.Background()))
				for _, bill := range w.bills(t) {
					assert.Assert(t, bill.CompletionTokens <= testTokens)
				}
				for _, e := range w.engines {
					e.SetFault(engine.Fault{})
				}
			})
		})
	}
}

func TestEnginesDie(t *testing.T) {
	// Both engines have begun no run of the key but the first's, which dies after some tokens.
	die := func(t *testing.T, both bool) (r reply) {
		inWorld(t, 1, func(t *testing.T, w *world) {
			time.AfterFunc(2*testInterval+testInterval/2, func() {
				for addr, e := range w.engines {
					if both || len(e.CountsNow().Runs) > 0 {
						w.killTarget(addr)
					}
				}
			})
			r = w.nodes[0].send("/v1/chat/completions", completionBody("a"))
		})
		return r
	}
	t.Run("one", func(t *testing.T) {
		r := die(t, false)
		assert.Equal(t, r.text(), wantText("a"), "%s", r.body)
	})
	t.Run("both", func(t *testing.T) {
		r := die(t, true)
		assert.Equal(t, r.refusal().Error.Run, "ran", "%s", r.body)
	})
}

// besideCrossing sends requests while one engine names other runs, and returns
// how many got no whole answer and how many attempts reached that engine.
func besideCrossing(t *testing.T, requests int, prepare func(*Gateway)) (failed, attempts int) {
	t.Helper()
	const interval = 50 * time.Millisecond
	inWorld(t, 1, func(t *testing.T, w *world) {
		n := w.nodes[0]
		prepare(n.gateway)
		crossing := w.engines["10.0.1.1:80"]
		crossing.SetFault(engine.Fault{Crossed: true})
		var wait sync.WaitGroup
		var lost atomic.Int64
		for i := range requests {
			key := fmt.Sprint("a", i)
			wait.Go(func() {
				if r := n.send("/v1/chat/completions", completionBody(key)); r.text() != wantText(key) {
					lost.Add(1)
				}
			})
			time.Sleep(interval)
		}
		wait.Wait()
		failed, attempts = int(lost.Load()), len(crossing.CountsNow().Runs)
		crossing.SetFault(engine.Fault{})
	})
	return failed, attempts
}

func TestCrossingEngineIsLeft(t *testing.T) {
	const requests = 80 // in four seconds
	failed, attempts := besideCrossing(t, requests, func(*Gateway) {})
	assert.Equal(t, failed, 0)
	assert.Assert(t, attempts > 0 && attempts < requests/8, "%d", attempts)
	failed, _ = besideCrossing(t, requests, func(g *Gateway) { g.Dispatcher.Retries.Reserve = 0.5 })
	assert.Assert(t, failed > 0, "the oracle did not notice")
}

// slowOnSilent counts the requests that wait for a connection that has gone
// silent, of those that begin at an interval.
func slowOnSilent(t *testing.T, interval time.Duration, keep bool) int {
	t.Helper()
	const requests = 16
	var slow atomic.Int64
	inWorld(t, 1, func(t *testing.T, w *world) {
		n := w.nodes[0]
		n.client.KeepSilent = keep
		var wait sync.WaitGroup
		for i := range requests {
			wait.Go(func() { n.send("/v1/chat/completions", completionBody(fmt.Sprint("warm", i))) })
		}
		wait.Wait()
		for _, e := range w.engines {
			e.SetFault(engine.Fault{SilenceOpen: true})
		}
		for i := range requests {
			wait.Go(func() {
				began := time.Now()
				r := n.send("/v1/chat/completions", completionBody(fmt.Sprint("a", i)))
				if time.Since(began) >= testProgress || r.text() != wantText(fmt.Sprint("a", i)) {
					slow.Add(1)
				}
			})
			time.Sleep(interval)
		}
		wait.Wait()
	})
	return int(slow.Load())
}

func TestSilentConnections(t *testing.T) {
	t.Run("one request after another", func(t *testing.T) {
		const interval = testFirstByte + testProgress
		assert.Assert(t, slowOnSilent(t, interval, false) <= testEngines)
		assert.Assert(t, slowOnSilent(t, interval, true) > testEngines, "the oracle did not notice")
	})
	t.Run("requests that overlap", func(t *testing.T) {
		// Suspicion comes after a second, in which four requests begin.
		const interval, most = 250 * time.Millisecond, 4 * testEngines
		assert.Assert(t, slowOnSilent(t, interval, false) <= most)
		assert.Assert(t, slowOnSilent(t, interval, true) > most, "the oracle did not notice")
	})
}

func TestDeadlineIsAnsweredAtOnce(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		for _, e := range w.engines {
			e.SetFault(engine.Fault{StallMs: 1500})
		}
		for _, s := range w.services {
			s.Delay = 1500 * time.Millisecond
		}
		for _, path := range []string{"/v1/chat/completions", "/v1/services/beds/hold"} {
			began := time.Now()
			r := w.nodes[0].send(path, completionBody("a"), HeaderKey, path[4:8], HeaderDeadline, "300")
			assert.NilError(t, r.err)
			assert.Equal(t, r.refusal().Error.Code, "deadline_exceeded", "%s", r.body)
			assert.Equal(t, r.refusal().Error.Run, "unknown")
			assert.Equal(t, time.Since(began), 300*time.Millisecond)
			assert.Assert(t, r.header("Retry-After") != "")
		}
		time.Sleep(5 * time.Second)
		again := w.nodes[0].send("/v1/services/beds/hold", completionBody("a"), HeaderKey, "serv")
		assert.Equal(t, again.status, fasthttp.StatusOK, "%s", again.body)
		_, paths := w.serviceRuns()
		assert.Equal(t, paths["/hold"], 1)
	})
}
