package placement

import (
	"container/heap"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// unevenSpeeds are the speeds of the engines in turn, compared with their mean.
var unevenSpeeds = []float64{0.7, 0.7, 1.7}

// ending is the end of an attempt in unevenLoad.
type ending struct {
	at   time.Time
	slot *Slot
	took time.Duration // from the first event on
}

// endings is a heap of attempts, the earliest end first.
type endings []ending

func (h endings) Len() int           { return len(h) }
func (h endings) Less(a, b int) bool { return h[a].at.Before(h[b].at) }
func (h endings) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *endings) Push(x any)        { *h = append(*h, x.(ending)) }
func (h *endings) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// unevenLoad sends a steady load to nine engines whose speeds differ as unevenSpeeds. It returns how many requests the
// engines of each speed got, and the time in which 95 in 100 answers began, both for the second half of the requests. An
// engine takes longer the more requests it runs.
func unevenLoad(compareSpeeds bool) (requests map[float64]int, p95 time.Duration) {
	const (
		answers  = 3000
		interval = 4 * time.Millisecond // between arrivals
		tokens   = 56                   // of an answer
		prefill  = 26 * time.Millisecond
		step     = 4 * time.Millisecond // and a tenth more for each running request
	)
	p := newPlacement(9)
	p.CompareSpeeds = compareSpeeds
	p.Update(instances(0))
	p.Update(instances(9))
	speeds := make(map[string]float64)
	for n, i := range instances(9).Instances() {
		speeds[i.ID] = unevenSpeeds[n%len(unevenSpeeds)]
	}
	r := Requirements{InputTokens: 2900, MaxOutputTokens: 80, ExpectedOutputTokens: tokens, LatencyGoal: 400 * time.Millisecond}
	now := time.Unix(0, 0)
	var open endings
	var waits []time.Duration
	requests = make(map[float64]int)
	for n := range answers {
		now = now.Add(interval)
		for len(open) > 0 && !open[0].at.After(now) {
			e := heap.Pop(&open).(ending)
			e.slot.instance.observeStream(tokens, e.took)
			e.slot.ended = true
			e.slot.instance.end(e.slot, Served, e.at)
		}
		i := p.choose(p.services[writer], r, now)
		s := &Slot{instance: i}
		busy := 1 + float64(i.running)/10
		i.begin(s, r, now)
		wait := scale(prefill, busy/speeds[i.ID])
		took := scale(step, tokens*busy/speeds[i.ID])
		i.answerStarted(s, now.Add(wait))
		heap.Push(&open, ending{at: now.Add(wait + took), slot: s, took: took})
		if n >= answers/2 {
			waits = append(waits, wait)
			requests[speeds[i.ID]]++
		}
	}
	slices.Sort(waits)
	return requests, waits[len(waits)*95/100]
}

// TestFastTargetsCarryMore guards against answers that begin late since slow targets of a service get as much work as the
// fast ones beside them.
func TestFastTargetsCarryMore(t *testing.T) {
	before, alike := unevenLoad(false)
	requests, compared := unevenLoad(true)
	assert.Assert(t, requests[1.7] > before[1.7], "the fast engines got %d requests, and %d where speeds are not compared", requests[1.7], before[1.7])
	assert.Assert(t, compared < alike, "95 in 100 answers began within %v, and %v where speeds are not compared", compared, alike)
}

// TestRelativeDelayIsLearnt checks that the relative delay follows an engine that turns slow or fast, whatever its answers
// were before.
func TestRelativeDelayIsLearnt(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var d relativeDelay
		for range rapid.IntRange(0, 200).Draw(rt, "answers before") {
			d.observe(rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, time.Hour}).Draw(rt, "took"), time.Second)
		}
		want := rapid.Float64Range(0.5, 2).Draw(rt, "relative delay")
		for range 150 {
			d.observe(scale(time.Second, want), time.Second)
		}
		assertWithin(rt, d.value(), want, 1.25)
	})
}

func TestRelativeDelayWithoutAnswers(t *testing.T) {
	var d relativeDelay
	d.observe(0, time.Second)
	d.observe(time.Second, 0)
	assert.Equal(t, d.value(), 1.0)
}
