package ledger

import (
	"fmt"
	"time"
)

//go:generate ../../../bin/stringer -type=Spread -linecomment

// Spread determines how large a share of a budget's tokens routers draw ahead of demand.
// It has no influence on the guarantee against overspending.
type Spread int

// The spreads of a budget.
const (
	// Frugal keeps more tokens in the table, for budgets that are used up to the last token.
	Frugal Spread = iota // frugal
	// Eager gives more tokens to the routers, for fewer refusals in an outage of the table.
	Eager // eager
)

// ParseSpread returns the spread with the name.
func ParseSpread(name string) (Spread, error) {
	for s := Frugal; s <= Eager; s++ {
		if s.String() == name {
			return s, nil
		}
	}
	return Frugal, fmt.Errorf("spread %q does not exist; allowed: frugal, eager", name)
}

// MarshalText encodes the spread as its name.
func (s Spread) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes the name of a spread.
func (s *Spread) UnmarshalText(text []byte) error {
	parsed, err := ParseSpread(string(text))
	*s = parsed
	return err
}

// Plan is the settings of a budget that an operator chooses.
type Plan struct {
	// Ends is the time from which requests may no longer use the budget; zero stands
	// for never.
	Ends time.Time `json:"ends,omitzero"`
	// Spread determines how large a share of the tokens routers draw ahead of demand.
	Spread Spread `json:"spread"`
}

// Ended reports whether the budget may no longer be used at the time now.
func (p Plan) Ended(now time.Time) bool { return !p.Ends.IsZero() && !now.Before(p.Ends) }

// compareEnds compares plans by end, with plans without an end last. It returns a negative
// number if p ends first, and 0 if the ends are equal.
func (p Plan) compareEnds(other Plan) int {
	switch {
	case p.Ends.Equal(other.Ends):
		return 0
	case p.Ends.IsZero():
		return 1
	case other.Ends.IsZero():
		return -1
	default:
		return p.Ends.Compare(other.Ends)
	}
}
