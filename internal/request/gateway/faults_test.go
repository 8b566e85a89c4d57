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
	// fasthttp starts a clock goroutine when the first header is created. Start it here, as
	// it must not belong to the synctest bubble of a test.
	var header fasthttp.ResponseHeader
	_ = header.Header()
	os.Exit(m.Run())
}

// probeWait is long enough for ejected targets to be probed, so that a target is
// available for the next fault.
const probeWait = 20 * time.Second

// withTestFleet runs f with a fleet in virtual time.
func withTestFleet(t *testing.T, routers int, f func(t *testing.T, fleet *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fleet, err := newTestFleet(context.Background(), routers)
		assert.NilError(t, err)
		defer func() {
			fleet.close()
			time.Sleep(time.Hour)
		}()
		f(t, fleet)
	})
}

// connFaultsAtEachCut returns a refused connection, and cuts and silence at every
// step-th byte of a request and a response of the given lengths.
func connFaultsAtEachCut(request, response, step int) []connFault {
	faults := []connFault{{Refuse: true}}
	for n := 1; n < request; n += step {
		faults = append(faults, connFault{CutWrite: n})
	}
	for n := 1; n < response; n += step {
		faults = append(faults, connFault{CutRead: n}, connFault{SilentRead: n})
	}
	return faults
}

// checkRunState returns an error if the reply is a failure that claims that the request
// did not run, though a target has counted a run of it.
func checkRunState(fleet *testFleet, r reply) error {
	if r.err != nil || r.status == fasthttp.StatusOK {
		return nil
	}
	calls, _ := fleet.serviceRuns()
	ran := fleet.engineRuns(r.requestID) + calls[r.requestID]
	if state := r.errorBody().Error.Run; state == answer.NotRun.String() && ran > 0 {
		return fmt.Errorf("error answer with run state %s, but the request ran %d times: %s", state, ran, r.body)
	}
	return nil
}

func TestWholeAnswerAtEveryCut(t *testing.T) {
	withTestFleet(t, 1, func(t *testing.T, fleet *testFleet) {
		fleet.nodes[0].gateway.Dispatcher.Retries.Ratio = 1 // each request needs a retry
		for i, fault := range connFaultsAtEachCut(420, 1900, 13) {
			key := fmt.Sprintf("k%d", i)
			fleet.faults = []connFault{fault}
			r := fleet.nodes[0].send("/v1/chat/completions", completionBody(key), HeaderKey, key)
			assert.NilError(t, r.err)
			assert.Equal(t, r.status, fasthttp.StatusOK, "fault %+v: %s", fault, r.body)
			assert.Equal(t, r.text(), wantText(key), "fault %+v", fault)
			time.Sleep(time.Minute) // the idle connection is closed, so the next request dials and hits its fault
		}
		assert.NilError(t, fleet.nodes[0].tokens.Settle(context.Background()))
		for key, bill := range fleet.bills(t) {
			assert.Equal(t, bill.CompletionTokens, int64(testTokens), key)
		}
	})
}

// callServiceAtEachCut sends, for each connection fault, a call that may run at most once
// and retries it at another router. It returns an error if a call runs twice or if an
// answer is wrong.
func callServiceAtEachCut(t *testing.T, fleet *testFleet) error {
	t.Helper()
	for _, n := range fleet.nodes {
		n.gateway.Dispatcher.Retries.Ratio = 1 // each request needs a retry
	}
	for i, fault := range connFaultsAtEachCut(260, 240, 5) {
		key := fmt.Sprintf("k%d", i)
		path := "/v1/services/beds/hold-" + key
		time.Sleep(probeWait)
		fleet.faults = []connFault{fault}
		first := fleet.nodes[0].send(path, "{}", HeaderKey, key)
		second := fleet.nodes[1].send(path, "{}", HeaderKey, key)
		_, paths := fleet.serviceRuns()
		if runs := paths["/hold-"+key]; runs > 1 {
			return fmt.Errorf("fault %+v: ran %d times", fault, runs)
		}
		for _, r := range []reply{first, second} {
			if err := checkRunState(fleet, r); err != nil {
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
	withTestFleet(t, 2, func(t *testing.T, fleet *testFleet) {
		assert.NilError(t, callServiceAtEachCut(t, fleet))
	})
}

func TestCallRunsOnceFailsWithoutMechanism(t *testing.T) {
	for name, disable := range map[string]func(*Gateway){
		"claims": func(g *Gateway) { g.DisableClaims = true; g.Directory = nil },
		"rule of repetition": func(g *Gateway) {
			g.Dispatcher.MayRetry = func(answer.RunState, bool) bool { return true }
		},
		"run states": func(g *Gateway) {
			g.Dispatcher.Call = reportNotRun(g.Dispatcher.Call)
			g.Dispatcher.MayRetry = func(answer.RunState, bool) bool { return false }
		},
	} {
		t.Run(name, func(t *testing.T) {
			withTestFleet(t, 2, func(t *testing.T, fleet *testFleet) {
				for _, n := range fleet.nodes {
					disable(n.gateway)
				}
				err := callServiceAtEachCut(t, fleet)
				assert.Assert(t, err != nil, "the check passed without the mechanism")
				t.Log(err)
			})
		})
	}
}

// reportNotRun wraps call so that each failed call is reported as not run.
func reportNotRun(call func(string, string, runner.ServiceRequest) (runner.ServiceResponse, error)) func(string, string, runner.ServiceRequest) (runner.ServiceResponse, error) {
	return func(addr, id string, c runner.ServiceRequest) (runner.ServiceResponse, error) {
		result, err := call(addr, id, c)
		if err != nil {
			err = &runner.Error{RunState: answer.NotRun, Err: err}
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
			withTestFleet(t, 1, func(t *testing.T, fleet *testFleet) {
				for _, e := range fleet.engines {
					e.SetFault(test.fault)
				}
				r := fleet.nodes[0].send("/v1/chat/completions", completionBody("a"), HeaderKey, "a")
				assert.NilError(t, r.err)
				assert.NilError(t, checkRunState(fleet, r))
				assert.Equal(t, r.errorBody().Error.Code, test.code, "%s", r.body)
				if test.code == "" {
					assert.Equal(t, r.text(), wantText("a"))
				} else {
					assert.Assert(t, r.header("Retry-After") != "")
				}
				assert.NilError(t, fleet.nodes[0].tokens.Settle(context.Background()))
				for _, bill := range fleet.bills(t) {
					assert.Assert(t, bill.CompletionTokens <= testTokens)
				}
				for _, e := range fleet.engines {
					e.SetFault(engine.Fault{})
				}
			})
		})
	}
}

func TestEnginesDie(t *testing.T) {
	// killEngines kills the engine that executes the run after some tokens, or both engines.
	killEngines := func(t *testing.T, both bool) (r reply) {
		withTestFleet(t, 1, func(t *testing.T, fleet *testFleet) {
			time.AfterFunc(2*testInterval+testInterval/2, func() {
				for addr, e := range fleet.engines {
					if both || len(e.CountsNow().Runs) > 0 {
						fleet.killTarget(addr)
					}
				}
			})
			r = fleet.nodes[0].send("/v1/chat/completions", completionBody("a"))
		})
		return r
	}
	t.Run("one", func(t *testing.T) {
		r := killEngines(t, false)
		assert.Equal(t, r.text(), wantText("a"), "%s", r.body)
	})
	t.Run("both", func(t *testing.T) {
		r := killEngines(t, true)
		assert.Equal(t, r.errorBody().Error.Run, "ran", "%s", r.body)
	})
}

// sendBesideCrossedEngine sends requests while one engine names another run in its answers.
// It returns the number of requests without a complete answer and the number of attempts
// that reached that engine.
func sendBesideCrossedEngine(t *testing.T, requests int, prepare func(*Gateway)) (failed, attempts int) {
	t.Helper()
	const interval = 50 * time.Millisecond
	withTestFleet(t, 1, func(t *testing.T, fleet *testFleet) {
		n := fleet.nodes[0]
		prepare(n.gateway)
		crossedEngine := fleet.engines["10.0.1.1:80"]
		crossedEngine.SetFault(engine.Fault{Crossed: true})
		var wait sync.WaitGroup
		var incomplete atomic.Int64
		for i := range requests {
			key := fmt.Sprint("a", i)
			wait.Go(func() {
				if r := n.send("/v1/chat/completions", completionBody(key)); r.text() != wantText(key) {
					incomplete.Add(1)
				}
			})
			time.Sleep(interval)
		}
		wait.Wait()
		failed, attempts = int(incomplete.Load()), len(crossedEngine.CountsNow().Runs)
		crossedEngine.SetFault(engine.Fault{})
	})
	return failed, attempts
}

func TestCrossingEngineIsLeft(t *testing.T) {
	const requests = 80 // one each 50 ms, 4 s in all
	failed, attempts := sendBesideCrossedEngine(t, requests, func(*Gateway) {})
	assert.Equal(t, failed, 0)
	assert.Assert(t, attempts > 0 && attempts < requests/8, "%d", attempts)
	failed, _ = sendBesideCrossedEngine(t, requests, func(g *Gateway) { g.Dispatcher.Retries.Burst = 0.5 })
	assert.Assert(t, failed > 0, "the check passed without the mechanism")
}

// countSlowRequests starts requests at the interval after all connections to the engines
// have gone silent. It returns the number that take testProgress or longer or have a wrong
// answer. keepSilent leaves silent connections in use.
func countSlowRequests(t *testing.T, interval time.Duration, keepSilent bool) int {
	t.Helper()
	const requests = 16
	var slow atomic.Int64
	withTestFleet(t, 1, func(t *testing.T, fleet *testFleet) {
		n := fleet.nodes[0]
		n.client.KeepIdleOnStall = keepSilent
		var wait sync.WaitGroup
		for i := range requests {
			wait.Go(func() { n.send("/v1/chat/completions", completionBody(fmt.Sprint("warm", i))) })
		}
		wait.Wait()
		for _, e := range fleet.engines {
			e.SetFault(engine.Fault{SilenceOpen: true})
		}
		for i := range requests {
			wait.Go(func() {
				start := time.Now()
				r := n.send("/v1/chat/completions", completionBody(fmt.Sprint("a", i)))
				if time.Since(start) >= testProgress || r.text() != wantText(fmt.Sprint("a", i)) {
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
		assert.Assert(t, countSlowRequests(t, interval, false) <= testEngines)
		assert.Assert(t, countSlowRequests(t, interval, true) > testEngines, "the check passed without the mechanism")
	})
	t.Run("requests that overlap", func(t *testing.T) {
		// A connection is suspected after testProgress, in which four requests start.
		const interval, maxSlow = 250 * time.Millisecond, 4 * testEngines
		assert.Assert(t, countSlowRequests(t, interval, false) <= maxSlow)
		assert.Assert(t, countSlowRequests(t, interval, true) > maxSlow, "the check passed without the mechanism")
	})
}

func TestDeadlineIsAnsweredAtOnce(t *testing.T) {
	withTestFleet(t, 1, func(t *testing.T, fleet *testFleet) {
		for _, e := range fleet.engines {
			e.SetFault(engine.Fault{StallMs: 1500})
		}
		for _, s := range fleet.services {
			s.Delay = 1500 * time.Millisecond
		}
		for _, path := range []string{"/v1/chat/completions", "/v1/services/beds/hold"} {
			start := time.Now()
			r := fleet.nodes[0].send(path, completionBody("a"), HeaderKey, path[4:8], HeaderDeadline, "300")
			assert.NilError(t, r.err)
			assert.Equal(t, r.errorBody().Error.Code, "deadline_exceeded", "%s", r.body)
			assert.Equal(t, r.errorBody().Error.Run, "unknown")
			assert.Equal(t, time.Since(start), 300*time.Millisecond)
			assert.Assert(t, r.header("Retry-After") != "")
		}
		time.Sleep(5 * time.Second)
		retry := fleet.nodes[0].send("/v1/services/beds/hold", completionBody("a"), HeaderKey, "serv")
		assert.Equal(t, retry.status, fasthttp.StatusOK, "%s", retry.body)
		_, paths := fleet.serviceRuns()
		assert.Equal(t, paths["/hold"], 1)
	})
}
