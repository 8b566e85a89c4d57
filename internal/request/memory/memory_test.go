package memory

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestBudgetsHoldTheirLimits plays random uses of budgets against a count for each.
func TestBudgetsHoldTheirLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := &Budget{Limit: 100}
		address := &Budget{Limit: 60, Parent: total}
		owners := []*Budget{{Limit: 50}, {Limit: 30}}
		holders := make([]*Reservation, 3)
		for n := range holders {
			holders[n] = new(Reservation)
			holders[n].Use([]*Budget{total, address, address}[n])
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h := holders[rapid.IntRange(0, 2).Draw(t, "holder")]
			before := h.Bytes()
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				n := rapid.Int64Range(1, 50).Draw(t, "bytes")
				if err := h.Grow(n); err == nil {
					before += n
				} else if !errors.Is(err, ErrFull) {
					t.Fatal(err)
				}
			case 1:
				n := rapid.Int64Range(0, before).Draw(t, "bytes")
				h.Shrink(n)
				before -= n
			case 2:
				h.Join(owners[rapid.IntRange(0, 1).Draw(t, "owner")])
			case 3:
				h.Release()
				before = 0
			}
			if h.Bytes() != before {
				t.Fatalf("holder has %d bytes, want %d", h.Bytes(), before)
			}
			checkBudgets(t, append(owners, total, address), holders)
		}
	})
}

// checkBudgets checks that each budget has what its holders have, within its limit.
func checkBudgets(t *rapid.T, budgets []*Budget, holders []*Reservation) {
	for n, b := range budgets {
		var sum int64
		for _, h := range holders {
			if h.Draws(b) {
				sum += h.Bytes()
			}
		}
		if b.Reserved() != sum || sum > b.Limit {
			t.Fatalf("budget %d: %d bytes are reserved of %d, holders have %d", n, b.Reserved(), b.Limit, sum)
		}
	}
}

func TestFullBudgetIsNamed(t *testing.T) {
	total := &Budget{Limit: 10}
	part := &Budget{Limit: 5, Parent: total}
	var a, b Reservation
	a.Use(total)
	b.Use(part)
	assert.Equal(t, b.TryGrow(6), part)
	assert.NilError(t, a.Grow(8))
	assert.Equal(t, b.TryGrow(3), total)
	assert.Equal(t, part.Reserved(), int64(0))
}
