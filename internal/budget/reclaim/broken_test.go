package reclaim

import (
	"testing"

	"pgregory.net/rapid"
)

const (
	// maxBrokenCases bounds the cases in which the oracle must find a break.
	maxBrokenCases = 10_000
	// wholeCases is how many of the same cases must pass with all mechanisms at work.
	wholeCases = 100
)

// breaks are the mechanisms that can be switched off, with the events that matter to each.
var breaks = []struct {
	name   string
	broken broken
	ops    []int
	steps  []step // a case that shows the break, in place of a search
}{
	{name: "bills inserted without condition", broken: broken{dropConditions: "bill/"}, ops: []int{opWait, opSettle, opSlowTable, opCount, opCount + 1}},
	{name: "draws without condition on the budget", broken: broken{dropConditions: "budget/"}},
	{name: "commits without condition on the holding", broken: broken{dropConditions: "holding/"}},
	{name: "requests sent without acknowledgement", broken: broken{skipAppend: true}},
	{name: "books read without being sealed", broken: broken{skipSeal: true}},
	{name: "holdings returned by timeout", broken: broken{skipEvidence: true}},
	{name: "unknown outcomes taken for refusals", broken: broken{denyUnknown: true}, ops: []int{opWait, opLoseAnswers, opSettle, opReturnFree, opCount, opCount + 1}},
	{
		name:   "unknown runs taken for not run",
		broken: broken{trustUnknown: true, granted: 200, oneBudget: true},
		ops:    []int{opWait, opFreeze, opSuspect, opSuspect, opSlowTable, opCount, opCount + 1},
		steps: []step{
			{op: opSlowTable, a: 0, c: 2},   // router 0 needs 100 ms for each message
			{op: opCount, a: 0, b: 6, c: 9}, // and announces a request for the whole budget,
			{op: opWait, b: 2},
			{op: opFreeze, a: 0}, // but freezes before it sends it
			{op: opSuspect, a: 1, b: 0},
			{op: opCount, a: 1, b: 10, c: 9}, // the tokens are spent by router 1
			{op: opWait, b: 2},
			{op: opFreeze, a: 0}, // router 0 wakes
			{op: opWait, b: 5},
		},
	},
}

// TestOracleCatchesBreaks switches off one mechanism at a time; the same cases
// pass with all of them at work.
func TestOracleCatchesBreaks(t *testing.T) {
	for _, c := range breaks {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if c.steps != nil {
				assertCaughtIn(t, c.broken, c.steps)
			} else {
				assertCaught(t, c.broken, script(c.ops...))
			}
			assertWhole(t, broken{granted: c.broken.granted, oneBudget: c.broken.oneBudget}, script(c.ops...))
		})
	}
}

// assertCaughtIn plays one case, in which the oracle must find the break.
func assertCaughtIn(t *testing.T, b broken, steps []step) {
	t.Helper()
	err := play(t, b, steps)
	if err == nil {
		t.Fatal("oracle found nothing")
	}
	t.Log(err)
	assertPasses(t, broken{granted: b.granted, oneBudget: b.oneBudget}, steps)
}

// assertCaught plays cases until the oracle finds the break.
func assertCaught(t *testing.T, b broken, steps *rapid.Generator[[]step]) {
	t.Helper()
	for seed := range maxBrokenCases {
		if err := play(t, b, steps.Example(seed)); err != nil {
			t.Logf("case %d: %v", seed, err)
			assertPasses(t, broken{granted: b.granted, oneBudget: b.oneBudget}, steps.Example(seed))
			return
		}
	}
	t.Errorf("oracle found nothing in %d cases", maxBrokenCases)
}

// assertWhole plays cases that must all pass.
func assertWhole(t *testing.T, b broken, steps *rapid.Generator[[]step]) {
	t.Helper()
	for seed := range wholeCases {
		assertPasses(t, b, steps.Example(seed))
	}
}

func assertPasses(t *testing.T, b broken, steps []step) {
	t.Helper()
	if err := play(t, b, steps); err != nil {
		t.Fatalf("steps %v: %v", steps, err)
	}
}
