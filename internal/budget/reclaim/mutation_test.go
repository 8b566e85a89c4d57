package reclaim

import (
	"testing"

	"pgregory.net/rapid"
)

const (
	// maxMutationCases is the number of cases within which the oracle must detect a mutation.
	maxMutationCases = 10_000
	// unmutatedCases is the number of the same cases that must pass without the mutation.
	unmutatedCases = 100
)

// mutations lists the safety mechanisms that the tests switch off, with the events
// that are needed to show the effect; all events if ops is empty.
var mutations = []struct {
	name     string
	mutation mutation
	ops      []int
	steps    []step // if set, a fixed case that shows the effect, instead of a search
}{
	{name: "bills inserted without condition", mutation: mutation{dropConditions: "bill/"}, ops: []int{opWait, opSettle, opDelayMessages, opCount, opCount + 1}},
	{name: "draws without condition on the budget", mutation: mutation{dropConditions: "budget/"}},
	{name: "commits without condition on the holding", mutation: mutation{dropConditions: "holding/"}},
	{name: "requests sent without acknowledgement", mutation: mutation{skipAppend: true}},
	{name: "books read without being sealed", mutation: mutation{skipSeal: true}},
	{name: "holdings returned by timeout", mutation: mutation{skipWitnessRecord: true}},
	{name: "unknown outcomes taken for refusals", mutation: mutation{unknownAsRefused: true}, ops: []int{opWait, opLoseCommitAnswers, opSettle, opReturnFree, opCount, opCount + 1}},
	{
		name:     "unknown runs taken for not run",
		mutation: mutation{unknownRunAsNotRun: true, initialTokens: 200, singleBudget: true},
		ops:      []int{opWait, opToggleFreeze, opSuspect, opSuspect, opDelayMessages, opCount, opCount + 1},
		steps: []step{
			{op: opDelayMessages, slot: 0, arg2: 2},  // router 0 takes 100 ms for each message
			{op: opCount, slot: 0, arg1: 6, arg2: 9}, // and records an attempt for the whole budget
			{op: opWait, arg1: 2},
			{op: opToggleFreeze, slot: 0}, // but freezes before sending it
			{op: opSuspect, slot: 1, arg1: 0},
			{op: opCount, slot: 1, arg1: 10, arg2: 9}, // router 1 spends the tokens
			{op: opWait, arg1: 2},
			{op: opToggleFreeze, slot: 0}, // router 0 resumes and sends its request
			{op: opWait, arg1: 5},
		},
	},
}

// TestOracleCatchesBreaks guards against an oracle that detects nothing: with one
// safety mechanism switched off it must report a violation, and the same cases must
// pass with all mechanisms switched on.
func TestOracleCatchesBreaks(t *testing.T) {
	for _, c := range mutations {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if c.steps != nil {
				assertDetectedIn(t, c.mutation, c.steps)
			} else {
				assertDetected(t, c.mutation, generateSteps(c.ops...))
			}
			assertAllPass(t, mutation{initialTokens: c.mutation.initialTokens, singleBudget: c.mutation.singleBudget}, generateSteps(c.ops...))
		})
	}
}

// assertDetectedIn runs one case, in which the oracle must detect the mutation.
func assertDetectedIn(t *testing.T, m mutation, steps []step) {
	t.Helper()
	err := runSteps(t, m, steps)
	if err == nil {
		t.Fatal("oracle did not detect the mutation")
	}
	t.Log(err)
	assertPasses(t, mutation{initialTokens: m.initialTokens, singleBudget: m.singleBudget}, steps)
}

// assertDetected runs generated cases until the oracle detects the mutation.
func assertDetected(t *testing.T, m mutation, steps *rapid.Generator[[]step]) {
	t.Helper()
	for seed := range maxMutationCases {
		if err := runSteps(t, m, steps.Example(seed)); err != nil {
			t.Logf("case %d: %v", seed, err)
			assertPasses(t, mutation{initialTokens: m.initialTokens, singleBudget: m.singleBudget}, steps.Example(seed))
			return
		}
	}
	t.Errorf("oracle did not detect the mutation in %d cases", maxMutationCases)
}

// assertAllPass runs the first unmutatedCases generated cases, which must all pass.
func assertAllPass(t *testing.T, m mutation, steps *rapid.Generator[[]step]) {
	t.Helper()
	for seed := range unmutatedCases {
		assertPasses(t, m, steps.Example(seed))
	}
}

func assertPasses(t *testing.T, m mutation, steps []step) {
	t.Helper()
	if err := runSteps(t, m, steps); err != nil {
		t.Fatalf("steps %v: %v", steps, err)
	}
}
