package gateway

import (
	"expvar"
	"sync/atomic"
	"time"

	"rosevalve/internal/request/answer"
)

// Outcomes of successful requests. Failed requests are counted by their error code.
const (
	outcomeCompleted = "whole"  // ran at a target, here or through another router
	outcomeStored    = "stored" // answered from the outcome stored in the claim
)

// callerLeft is the reason of a broken stream whose caller has left or does not read.
const callerLeft = "caller_left"

var (
	outcomes          = expvar.NewMap("request_outcomes")
	runStates         = expvar.NewMap("request_run_states")
	brokenStreams     = expvar.NewMap("request_streams_broken")    // by the code of the failure, or callerLeft
	attachedRuns      = expvar.NewInt("request_attached")          // runs read from another router
	takenOverRuns     = expvar.NewInt("request_taken_over")        // completions executed here after their owner was lost
	pendingStores     = expvar.NewInt("request_outcomes_to_store") // outcomes being stored in the background now
	pendingReleases   = expvar.NewInt("request_claims_to_release") // claims of calls that did not run, being released in the background now
	firstTokenLatency = newHistogram("request_first_token_ms")     // from the registration of the run
	tokenGap          = newHistogram("request_between_tokens_ms")
)

// countOutcome counts a finished request by its outcome and its run state.
func countOutcome(outcome string, state answer.RunState) {
	outcomes.Add(outcome, 1)
	runStates.Add(state.String(), 1)
}

// bucketBounds are the upper bounds of the histograms' buckets.
var bucketBounds = []time.Duration{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond,
	62 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 350 * time.Millisecond,
	530 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
}

// histogram counts durations by bucket; the last bucket has no upper bound.
type histogram struct {
	counts []atomic.Int64
}

// newHistogram creates a histogram and publishes it as an expvar under the name.
func newHistogram(name string) *histogram {
	h := &histogram{counts: make([]atomic.Int64, len(bucketBounds)+1)}
	expvar.Publish(name, expvar.Func(h.countsByBound))
	return h
}

func (h *histogram) observe(d time.Duration) {
	i := 0
	for i < len(bucketBounds) && d > bucketBounds[i] {
		i++
	}
	h.counts[i].Add(1)
}

// countsByBound returns the count of each bucket by its upper bound, which is "more"
// for the last one.
func (h *histogram) countsByBound() any {
	out := make(map[string]int64, len(h.counts))
	for i := range h.counts {
		bound := "more"
		if i < len(bucketBounds) {
			bound = bucketBounds[i].String()
		}
		out[bound] = h.counts[i].Load()
	}
	return out
}

// tokenTimer measures the latency of a run's first token and the gaps between tokens.
type tokenTimer struct {
	last          time.Time     // start of the run, or the most recent token
	first         time.Duration // latency of the first token; 0 before it
	awaitingFirst bool
}

func newTokenTimer(began time.Time) *tokenTimer { return &tokenTimer{last: began, awaitingFirst: true} }

// recordToken records that a token has arrived now.
func (t *tokenTimer) recordToken() {
	now := time.Now()
	if t.awaitingFirst {
		t.first = now.Sub(t.last)
		firstTokenLatency.observe(t.first)
	} else {
		tokenGap.observe(now.Sub(t.last))
	}
	t.awaitingFirst = false
	t.last = now
}
