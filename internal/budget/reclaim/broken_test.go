package reclaim

import (
	"testing"

	"pgregory.net/rapid"
)

// maxBrokenCases bounds the cases in which the oracle must find a break.
const maxBrokenCases = 10_000

// TestOracleCatchesBreaks switches off one mechanism at a time.
func TestOracleCatchesBreaks(t *testing.T) {
	for _, c := range []struct {
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
	} {
		t.Run(c.name, func(t *testing.T) { assertCaught(t, c.broken, script(c.ops...)) })
	}
}

// TestOracleAcceptsWhole plays the same cases with all mechanisms at work.
func TestOracleAcceptsWhole(t *testing.T) {
	steps := script()
	for seed := range maxBrokenCases {
		if err := play(t, broken{}, steps.Example(seed)); err != nil {
			t.Fatalf("case %d: %v", seed, err)
		}
	}
}

// assertCaught plays cases until the oracle finds the break.
func assertCaught(t *testing.T, b broken, steps *rapid.Generator[[]step]) {
	t.Helper()
	for seed := range maxBrokenCases {
		if err := play(t, b, steps.Example(seed)); err != nil {
			t.Logf("case %d: %v", seed, err)
			return
		}
	}
	t.Errorf("oracle found nothing in %d cases", maxBrokenCases)
}
