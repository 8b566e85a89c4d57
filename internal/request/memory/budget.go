package memory

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrFull reports that a budget does not cover a reservation.
var ErrFull = errors.New("memory for requests and answers is used up")

// defaultLimit is the bound of a budget whose Limit is 0, in bytes.
const defaultLimit = 8 << 20

// Budget is a bound for memory that many reservations share.
type Budget struct {
	// Limit is the bound in bytes; 0 means 8 MiB.
	Limit int64
	// Parent is a budget from which all that is reserved here is reserved too; nil for none.
	Parent *Budget

	reserved atomic.Int64
}

// Size returns the bound in bytes.
func (b *Budget) Size() int64 {
	if b.Limit == 0 {
		return defaultLimit
	}
	return b.Limit
}

// Reserved returns how many bytes are reserved.
func (b *Budget) Reserved() int64 { return b.reserved.Load() }

// take reserves n bytes here and in the parents, or none. It returns the budget that does not cover them; nil if all do.
func (b *Budget) take(n int64) (full *Budget) {
	if b == nil {
		return nil
	}
	if b.reserved.Add(n) > b.Size() {
		b.reserved.Add(-n)
		return b
	}
	full = b.Parent.take(n)
	if full != nil {
		b.reserved.Add(-n)
	}
	return full
}

// giveBack returns n bytes to the budget and its parents.
func (b *Budget) giveBack(n int64) {
	for ; b != nil; b = b.Parent {
		b.reserved.Add(-n)
	}
}
