package ledger

import (
	"fmt"
	"time"
)

//go:generate ../../../bin/stringer -type=Spread -linecomment

// Spread says how a budget's tokens are spread over routers. It never changes how
// strictly they are kept.
type Spread int

// The ways to spread tokens.
const (
	// Frugal keeps more tokens in the table, for budgets that are used to their end.
	Frugal Spread = iota // frugal
	// Eager gives more tokens to the routers, for fewer refusals in an outage.
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

// Plan is what an operator decides about a budget beside its tokens.
type Plan struct {
	// Ends is when requests may no longer use the budget; zero stands for never.
	Ends time.Time `json:"ends,omitzero"`
	// Spread says how the tokens are spread over routers.
	Spread Spread `json:"spread"`
}

// Ended reports whether the budget may no longer be used.
func (p Plan) Ended(now time.Time) bool { return !p.Ends.IsZero() && !now.Before(p.Ends) }

// before reports whether a budget is used before another one.
func (p Plan) before(other Plan) int {
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
