package evacuation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosevalve/internal/protocol/inner"
)

var start = time.Unix(1_000_000, 0)

// evacuate and restore return the changes with which the operator evacuates a domain and takes that back.
func evacuate(domain string, version uint64) Change {
	return Change{Domain: domain, Evacuated: true, Version: version}
}

func restore(domain string, version uint64) Change { return Change{Domain: domain, Version: version} }

// missing returns the change that a rolled-back store without the row of a domain stands for.
func missing(domain string, version uint64) Change {
	return Change{Domain: domain, Era: 1, Version: version, AfterRollback: true}
}

// assertInForce checks which domains are evacuated.
func assertInForce(t *testing.T, s *Set, want ...string) {
	t.Helper()
	var got []string
	for _, e := range s.List() {
		got = append(got, e.Domain)
		assert.Assert(t, s.Contains(e.Domain))
	}
	assert.DeepEqual(t, got, want)
}

func TestNothingIsEvacuatedBeforeTheFirstRow(t *testing.T) {
	var s Set
	assertInForce(t, &s)
	assert.Assert(t, !s.Contains("a"))
	assert.Equal(t, s.Latest(), inner.TablePosition{})
}

func TestTwoDomainsAtOnce(t *testing.T) {
	var s Set
	assert.DeepEqual(t, s.Apply([]Change{evacuate("b", 4), evacuate("a", 5)}, start), []Transition{{Began, "b", 4}, {Began, "a", 5}})
	assertInForce(t, &s, "a", "b")
	assert.DeepEqual(t, s.Apply([]Change{restore("b", 6)}, start), []Transition{{Ended, "b", 6}})
	assertInForce(t, &s, "a")
	assert.Equal(t, s.Latest(), inner.TablePosition{Version: 6})
}

func TestRowWrittenAgain(t *testing.T) {
	var s Set
	s.Apply([]Change{evacuate("a", 4)}, start)
	assert.DeepEqual(t, s.Apply([]Change{evacuate("a", 7)}, start), []Transition{{Rewritten, "a", 7}})
	assert.DeepEqual(t, s.List(), []Evacuation{{Domain: "a", Version: 7}})
}

func TestTakenBackWithoutEvacuation(t *testing.T) {
	var s Set
	assert.Equal(t, len(s.Apply([]Change{restore("a", 4)}, start)), 0)
	assertInForce(t, &s)
}

func TestStoreRolledBackToBeforeTheEvacuation(t *testing.T) {
	newSet := func() *Set {
		var s Set
		s.Apply([]Change{evacuate("a", 40)}, start)
		assert.DeepEqual(t, s.Apply([]Change{missing("a", 9)}, start), []Transition{{Missing, "a", 9}})
		assertInForce(t, &s, "a")
		return &s
	}
	t.Run("stays until the operator had time to write it again", func(t *testing.T) {
		s := newSet()
		assert.Equal(t, len(s.Expire(start.Add(rollbackGrace-1))), 0)
		assertInForce(t, s, "a")
		assert.DeepEqual(t, s.Expire(start.Add(rollbackGrace)), []Transition{{Ended, "a", 40}})
		assertInForce(t, s)
	})
	t.Run("is written again", func(t *testing.T) {
		s := newSet()
		s.Apply([]Change{{Domain: "a", Evacuated: true, Era: 1, Version: 12}}, start)
		assert.Equal(t, len(s.Expire(start.Add(2*rollbackGrace))), 0)
		assertInForce(t, s, "a")
		assert.Equal(t, s.Latest(), inner.TablePosition{Era: 1, Version: 12})
	})
}

// TestSetAgreesWithTheRows compares the set with the rows that were written, whatever their order.
func TestSetAgreesWithTheRows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Set
		rows := make(map[string]uint64)
		for version := uint64(1); version < 30; version++ {
			c := Change{Domain: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"), Evacuated: rapid.Bool().Draw(t, "evacuated"), Version: version}
			s.Apply([]Change{c}, start)
			delete(rows, c.Domain)
			if c.Evacuated {
				rows[c.Domain] = version
			}
			if len(s.List()) != len(rows) {
				t.Fatalf("%v in force, not %v", s.List(), rows)
			}
			for _, e := range s.List() {
				if rows[e.Domain] != e.Version {
					t.Fatalf("%v in force, not %v", s.List(), rows)
				}
			}
		}
	})
}
