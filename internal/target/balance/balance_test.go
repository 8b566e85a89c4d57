package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// numberedNames returns n names that consist of the prefix and an index.
func numberedNames(prefix string, n int) []string {
	out := make([]string, n)
	for i := range n {
		out[i] = fmt.Sprintf("%s-%d", prefix, i)
	}
	return out
}

// countUsers returns the number of routers that use each target. The routers know
// their index if numbered is set.
func countUsers(routers, targets, size int, numbered bool) map[string]int {
	users := make(map[string]int)
	all := numberedNames("target", targets)
	for i := range routers {
		position := RouterIndex{Self: fmt.Sprint("router-", i)}
		if numbered {
			position.Index, position.Count = i, routers
		}
		for _, t := range Subset("oak", position, all, size) {
			users[t]++
		}
	}
	return users
}

// extremesOverMean returns the highest and the lowest number of users of a target,
// divided by the mean.
func extremesOverMean(users map[string]int, targets int) (highest, lowest float64) {
	sum, most, least := 0, 0, 1<<30
	for _, n := range users {
		sum += n
		most = max(most, n)
		least = min(least, n)
	}
	if len(users) < targets {
		least = 0
	}
	mean := float64(sum) / float64(targets)
	return float64(most) / mean, float64(least) / mean
}

func TestNumberedSubsetsAreEven(t *testing.T) {
	highest, lowest := extremesOverMean(countUsers(1100, 508, 32, true), 508)
	assert.Assert(t, highest <= 1.1 && lowest >= 0.9, "the number of users over the mean ranges from %f to %f", lowest, highest)
}

func TestHashedSubsetsAreUneven(t *testing.T) {
	highest, _ := extremesOverMean(countUsers(1100, 508, 32, false), 508)
	assert.Assert(t, highest > 1.1, "the highest number of users over the mean is only %f although the routers know no index", highest)
}

func TestSubsetChangesLittleWithOneTarget(t *testing.T) {
	all := numberedNames("target", 508)
	position := RouterIndex{Self: "r", Index: 700, Count: 1100}
	before := make(map[string]bool)
	for _, addr := range Subset("oak", position, all, 32) {
		before[addr] = true
	}
	kept := 0
	for _, addr := range Subset("oak", position, all[1:], 32) {
		if before[addr] {
			kept++
		}
	}
	assert.Assert(t, kept >= 16, "only %d of 32 targets were kept", kept)
}

func TestAffinityIsBoundedByLoad(t *testing.T) {
	candidates := make([]Candidate, 8)
	for i := range candidates {
		candidates[i] = Candidate{Hash: Hash(fmt.Sprint(i)), HasSlot: true}
	}
	c := Chooser{MaxLoadRatio: 1.25, Rand: rand.New(rand.NewPCG(1, 1)).IntN}
	first := c.Choose(42, 1, candidates)
	chosen := make(map[int]int)
	for range 800 {
		i := c.Choose(42, 1, candidates)
		chosen[i]++
		candidates[i].Load++
	}
	assert.Assert(t, chosen[first] >= 100 && chosen[first] <= 126, "the first target got %d of 800", chosen[first])
}

func TestAffinityKeepsAPrefixOnOneTarget(t *testing.T) {
	candidates := make([]Candidate, 8)
	for i := range candidates {
		candidates[i] = Candidate{Hash: Hash(fmt.Sprint(i)), Load: 100, HasSlot: true}
	}
	withAffinity := countDistinctTargets(Chooser{MaxLoadRatio: 1.25, Rand: rand.New(rand.NewPCG(1, 1)).IntN}, candidates)
	withoutAffinity := countDistinctTargets(Chooser{Rand: rand.New(rand.NewPCG(1, 1)).IntN}, candidates)
	assert.Equal(t, withAffinity, 1)
	assert.Assert(t, withoutAffinity > 1)
}

// countDistinctTargets returns the number of different targets that Choose selects for
// one prefix.
func countDistinctTargets(c Chooser, candidates []Candidate) int {
	chosen := make(map[int]bool)
	for range 50 {
		chosen[c.Choose(7, 1, candidates)] = true
	}
	return len(chosen)
}

func TestWrongHintNeverChoosesATargetWithoutRoom(t *testing.T) {
	r := rand.New(rand.NewPCG(2, 2))
	c := Chooser{MaxLoadRatio: 1.25, Rand: r.IntN}
	for range 2000 {
		candidates := make([]Candidate, 1+r.IntN(6))
		hasSlot := false
		for i := range candidates {
			candidates[i] = Candidate{Hash: r.Uint64(), Load: float64(r.IntN(100)), HasSlot: r.IntN(2) == 0, PrefixCached: r.IntN(2) == 0}
			hasSlot = hasSlot || candidates[i].HasSlot
		}
		i := c.Choose(r.Uint64(), 10, candidates)
		assert.Equal(t, i >= 0, hasSlot)
		assert.Assert(t, i < 0 || candidates[i].HasSlot)
	}
}

func BenchmarkSubset(b *testing.B) {
	all := numberedNames("target", 508)
	for i := 0; b.Loop(); i++ {
		Subset("oak", RouterIndex{Self: "r", Index: i % 1100, Count: 1100}, all, 32)
	}
}

func BenchmarkChoose(b *testing.B) {
	candidates := make([]Candidate, 32)
	for i := range candidates {
		candidates[i] = Candidate{Hash: Hash(fmt.Sprint(i)), Load: float64(i), HasSlot: true}
	}
	c := Chooser{MaxLoadRatio: 1.25}
	for i := 0; b.Loop(); i++ {
		c.Choose(uint64(i), 100, candidates)
	}
}
