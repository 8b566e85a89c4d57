package gateway

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

func (w *world) setOutage(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outage = on
}

func TestOutageBeforeCall(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		n := w.nodes[0]
		n.send("/v1/services/beds/warm", "{}") // the router holds tokens afterwards
		w.setOutage(true)
		began := time.Now()
		r := n.send("/v1/services/beds/hold", "{}", HeaderKey, "a")
		assert.Equal(t, r.refusal().Error.Run, "not_run", "%s", r.body)
		assert.Equal(t, r.status, fasthttp.StatusServiceUnavailable)
		assert.Assert(t, r.header("Retry-After") != "")
		assert.Assert(t, time.Since(began) <= defaultReserveTimeout)
		w.setOutage(false)
		assert.Equal(t, n.send("/v1/services/beds/hold", "{}", HeaderKey, "a").status, fasthttp.StatusOK)
	})
}

func TestOutageAfterCall(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		time.AfterFunc(testInterval/2, func() { w.setOutage(true) })
		first := w.nodes[0].send("/v1/services/beds/hold", "{}", HeaderKey, "a")
		assert.Equal(t, first.status, fasthttp.StatusOK, "%s", first.body)
		time.Sleep(5 * time.Minute) // longer than an answer is remembered
		again := w.nodes[0].send("/v1/services/beds/hold", "{}", HeaderKey, "a")
		assert.Equal(t, string(again.body), string(first.body))
		w.setOutage(false)
		time.Sleep(2 * maxStoreWait)
		w.nodes[0].kill()
		other := w.nodes[1].send("/v1/services/beds/hold", "{}", HeaderKey, "a")
		assert.Equal(t, string(other.body), string(first.body))
	})
}

func TestDeathBetweenClaimAndOutcome(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		time.AfterFunc(testInterval/2, w.nodes[0].kill)
		first := w.nodes[0].send("/v1/services/beds/hold", "{}", HeaderKey, "a")
		assert.Assert(t, first.err != nil)
		for range 2 {
			other := w.nodes[1].send("/v1/services/beds/hold", "{}", HeaderKey, "a")
			assert.Equal(t, other.refusal().Error.Run, "unknown", "%s", other.body)
			assert.Equal(t, other.refusal().Error.Code, "outcome_unknown")
		}
		_, paths := w.serviceRuns()
		assert.Equal(t, paths["/hold"], 1)
	})
}
