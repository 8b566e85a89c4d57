package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/queue"
	"rosevalve/internal/target/pool"
)

// setOutage makes the table unavailable to all routers, or available again.
func (f *testFleet) setOutage(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tableOutage = on
}

func TestOutageBeforeCall(t *testing.T) {
	withTestFleet(t, 1, func(t *testing.T, fleet *testFleet) {
		n := fleet.nodes[0]
		n.send("/v1/services/beds/warm", "{}") // draws tokens, which the router keeps
		fleet.setOutage(true)
		start := time.Now()
		r := n.send("/v1/services/beds/hold", "{}", HeaderKey, "a")
		assert.Equal(t, r.errorBody().Error.Run, "not_run", "%s", r.body)
		assert.Equal(t, r.status, fasthttp.StatusServiceUnavailable)
		assert.Assert(t, r.header("Retry-After") != "")
		assert.Assert(t, time.Since(start) <= defaultReserveTimeout)
		fleet.setOutage(false)
		assert.Equal(t, n.send("/v1/services/beds/hold", "{}", HeaderKey, "a").status, fasthttp.StatusOK)
	})
}

func TestOutageAfterCall(t *testing.T) {
	withTestFleet(t, 2, func(t *testing.T, fleet *testFleet) {
		time.AfterFunc(testInterval/2, func() { fleet.setOutage(true) })
		first := fleet.nodes[0].send("/v1/services/beds/hold", "{}", HeaderKey, "a")
		assert.Equal(t, first.status, fasthttp.StatusOK, "%s", first.body)
		time.Sleep(5 * time.Minute) // longer than a finished run stays in the registry
		second := fleet.nodes[0].send("/v1/services/beds/hold", "{}", HeaderKey, "a")
		assert.Equal(t, string(second.body), string(first.body))
		fleet.setOutage(false)
		time.Sleep(2 * maxStoreBackoff)
		fleet.nodes[0].kill()
		third := fleet.nodes[1].send("/v1/services/beds/hold", "{}", HeaderKey, "a")
		assert.Equal(t, string(third.body), string(first.body))
	})
}

func TestDeathBetweenClaimAndOutcome(t *testing.T) {
	withTestFleet(t, 2, func(t *testing.T, fleet *testFleet) {
		time.AfterFunc(testInterval/2, fleet.nodes[0].kill)
		first := fleet.nodes[0].send("/v1/services/beds/hold", "{}", HeaderKey, "a")
		assert.Assert(t, first.err != nil)
		for range 2 {
			retry := fleet.nodes[1].send("/v1/services/beds/hold", "{}", HeaderKey, "a")
			assert.Equal(t, retry.errorBody().Error.Run, "unknown", "%s", retry.body)
			assert.Equal(t, retry.errorBody().Error.Code, "outcome_unknown")
		}
		_, paths := fleet.serviceRuns()
		assert.Equal(t, paths["/hold"], 1)
	})
}

// TestCallRefusedBesideASilentTableRunsWhenRepeated guards against a call that was refused as not run, and whose repeat
// with the same key finds the claim left behind and is never sent.
func TestCallRefusedBesideASilentTableRunsWhenRepeated(t *testing.T) {
	tests := map[string]func(*testFleet){
		"claim not acquired in time": func(f *testFleet) { f.silenceTable(silence) },
		"claim not released in time": func(f *testFleet) {
			acquire := f.nodes[0].gateway.Dispatcher.Acquire
			f.nodes[0].gateway.Dispatcher.Acquire = func(context.Context, queue.Request) (*pool.Slot, *answer.Error) {
				f.nodes[0].gateway.Dispatcher.Acquire = acquire
				f.silenceTable(silence)
				return nil, answer.Retryable(fasthttp.StatusServiceUnavailable, "no_target", tableRetryAfter, "full")
			}
		},
	}
	for name, prepare := range tests {
		for repeatAt := range 2 {
			t.Run(fmt.Sprintf("%s, repeated at router %d", name, repeatAt), func(t *testing.T) {
				withTestFleet(t, 2, func(t *testing.T, fleet *testFleet) {
					for _, n := range fleet.nodes {
						n.send("/v1/services/beds/warm", "{}") // draws tokens, which the router keeps
					}
					prepare(fleet)
					first := fleet.nodes[0].send("/v1/services/beds/hold", "{}", HeaderKey, "a")
					assert.NilError(t, first.err)
					assert.Equal(t, first.errorBody().Error.Run, "not_run", "%s", first.body)
					time.Sleep(time.Duration(first.errorBody().Error.RetryAfterS) * time.Second)
					second := fleet.nodes[repeatAt].send("/v1/services/beds/hold", "{}", HeaderKey, "a")
					assert.Equal(t, second.status, fasthttp.StatusOK, "%s", second.body)
					_, paths := fleet.serviceRuns()
					assert.Equal(t, paths["/hold"], 1)
				})
			})
		}
	}
}
