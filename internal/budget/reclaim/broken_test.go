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
}{
	{name: "bills inserted without condition", broken: broken{dropConditions: "bill/"}, ops: []int{0, 10, 17, opCount, opCount + 1}},
	{name: "draws without condition on the budget", broken: broken{dropConditions: "budget/"}},
	{name: "commits without condition on the holding", broken: broken{dropConditions: "holding/"}},
	{name: "requests sent without acknowledgement", broken: broken{skipAppend: true}},
	{name: "books read without being sealed", broken: broken{skipSeal: true}},
	{name: "holdings returned by timeout", broken: broken{skipEvidence: true}},
	{name: "unknown outcomes taken for refusals", broken: broken{denyUnknown: true}, ops: []int{0, 7, 10, 15, opCount, opCount + 1}},
	{name: "unknown runs taken for not run", broken: broken{trustUnknown: true, granted: 200}, ops: []int{0, 5, 12, 12, 17, opCount, opCount + 1}},
}

// TestOracleCatchesBreaks switches off one mechanism at a time; the same cases
// pass with all of them at work.
func TestOracleCatchesBreaks(t *testing.T) {
	for _, c := range breaks {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			assertCaught(t, c.broken, script(c.ops...))
			assertWhole(t, broken{granted: c.broken.granted}, script(c.ops...))
		})
	}
}

// assertCaught plays cases until the oracle finds the break.
func assertCaught(t *testing.T, b broken, steps *rapid.Generator[[]step]) {
	t.Helper()
	for seed := range maxBrokenCases {
		if err := play(t, b, steps.Example(seed)); err != nil {
			t.Logf("case %d: %v", seed, err)
			assertPasses(t, broken{granted: b.granted}, steps.Example(seed))
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
