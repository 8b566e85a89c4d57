package ledger

import (
	"fmt"
	"time"
)

//go:generate ../../../bin/stringer -type=DrawPolicy -linecomment

// DrawPolicy determines how large a share of a budget's tokens routers draw ahead of demand.
// It has no influence on the guarantee against overspending.
type DrawPolicy int

// The draw policies of a budget.
const (
	// Frugal keeps more tokens in the table, for budgets that are used up to the last token.
	Frugal DrawPolicy = iota // frugal
	// Eager lets routers draw more tokens, for fewer refusals in an outage of the table.
	Eager // eager
)

// ParseSpread returns the draw policy with the name.
func ParseSpread(name string) (DrawPolicy, error) {
	for s := Frugal; s <= Eager; s++ {
		if s.String() == name {
			return s, nil
		}
	}
	return Frugal, fmt.Errorf("spread %q does not exist; allowed: frugal, eager", name)
}

// MarshalText encodes the draw policy as its name.
func (s DrawPolicy) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes the name of a draw policy.
func (s *DrawPolicy) UnmarshalText(text []byte) error {
	parsed, err := ParseSpread(string(text))
	*s = parsed
	return err
}

// BudgetSettings is the settings of a budget that an operator chooses.
type BudgetSettings struct {
	// EndsAt is the time from which requests may no longer use the budget; zero stands
	// for never.
	EndsAt time.Time `json:"ends,omitzero"`
	// Spread determines how large a share of the tokens routers draw ahead of demand.
	Spread DrawPolicy `json:"spread"`
}

// Ended reports whether the budget may no longer be used at the time now.
func (s BudgetSettings) Ended(now time.Time) bool { return !s.EndsAt.IsZero() && !now.Before(s.EndsAt) }

// compareEnds compares settings by the end of the budget, with settings without an end
// last. It returns a negative number if s ends first, and 0 if the ends are equal.
func (s BudgetSettings) compareEnds(other BudgetSettings) int {
	switch {
	case s.EndsAt.Equal(other.EndsAt):
		return 0
	case s.EndsAt.IsZero():
		return 1
	case other.EndsAt.IsZero():
		return -1
	default:
		return s.EndsAt.Compare(other.EndsAt)
	}
}
