package gateway

import (
	"expvar"
	"sync/atomic"
	"time"

	"rosevalve/internal/request/answer"
)

const (
	outcomeWhole  = "whole"
	outcomeStored = "stored"
)

var (
	outcomes      = expvar.NewMap("request_outcomes")
	runStates     = expvar.NewMap("request_run_states")
	attached      = expvar.NewInt("request_attached")
	takenOver     = expvar.NewInt("request_taken_over")
	storesPending = expvar.NewInt("request_outcomes_to_store")
	firstToken    = newHistogram("request_first_token_ms")
	betweenTokens = newHistogram("request_between_tokens_ms")
)

// count notes how a request ended.
func count(outcome string, state answer.RunState) {
	outcomes.Add(outcome, 1)
	runStates.Add(state.String(), 1)
}

// bucketLimits are the upper bounds of the histograms' buckets.
var bucketLimits = []time.Duration{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond,
	62 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 350 * time.Millisecond,
	530 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
}

// histogram counts durations by bucket; the last bucket has no bound.
type histogram struct {
	counts []atomic.Int64
}

// newHistogram publishes a histogram under the name.
func newHistogram(name string) *histogram {
	h := &histogram{counts: make([]atomic.Int64, len(bucketLimits)+1)}
	expvar.Publish(name, expvar.Func(h.dump))
	return h
}

func (h *histogram) observe(d time.Duration) {
	i := 0
	for i < len(bucketLimits) && d > bucketLimits[i] {
		i++
	}
	h.counts[i].Add(1)
}

// dump returns the counts by upper bound.
func (h *histogram) dump() any {
	out := make(map[string]int64, len(h.counts))
	for i := range h.counts {
		bound := "more"
		if i < len(bucketLimits) {
			bound = bucketLimits[i].String()
		}
		out[bound] = h.counts[i].Load()
	}
	return out
}

// tokenClock measures the times of one run's tokens.
type tokenClock struct {
	last  time.Time
	first bool
}

func newTokenClock(began time.Time) *tokenClock { return &tokenClock{last: began, first: true} }

func (c *tokenClock) tick() {
	now := time.Now()
	if c.first {
		firstToken.observe(now.Sub(c.last))
	} else {
		betweenTokens.observe(now.Sub(c.last))
	}
	c.first = false
	c.last = now
}
