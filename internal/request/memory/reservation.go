package memory

import "sync"

// Reservation is the memory that one holder has reserved. Its methods may be called at the same time.
type Reservation struct {
	mu           sync.Mutex // guards the fields below
	first, other *Budget    // other is that of the holder's owner, apart from first and its parents; nil for none
	bytes        int64
}

// Use sets the budget from which the memory is reserved. Nothing may be reserved yet.
func (r *Reservation) Use(b *Budget) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.first = b
}

// Join reserves what is reserved, and what will be, from the budget b too, in place of an earlier one that was joined. It
// returns the budget that does not cover that, and has no effect then; nil otherwise.
func (r *Reservation) Join(b *Budget) (full *Budget) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if full := b.take(r.bytes); full != nil {
		return full
	}
	r.other.giveBack(r.bytes)
	r.other = b
	return nil
}

// Grow reserves n more bytes, or returns ErrFull without reserving any.
func (r *Reservation) Grow(n int64) error {
	if r.TryGrow(n) != nil {
		return ErrFull
	}
	return nil
}

// TryGrow reserves n more bytes and returns nil, or reserves none and returns the budget that does not cover them.
func (r *Reservation) TryGrow(n int64) (full *Budget) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if full := r.first.take(n); full != nil {
		return full
	}
	if full := r.other.take(n); full != nil {
		r.first.giveBack(n)
		return full
	}
	r.bytes += n
	return nil
}

// Shrink gives n of the reserved bytes back, or all if there are fewer.
func (r *Reservation) Shrink(n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shrink(n)
}

// Release gives back all that is reserved and leaves the budget that was joined. It may be called again without effect.
func (r *Reservation) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shrink(r.bytes)
	r.other = nil
}

// shrink gives n bytes back, or all if there are fewer. The caller holds mu.
func (r *Reservation) shrink(n int64) {
	n = min(n, r.bytes)
	if n == 0 {
		return
	}
	r.bytes -= n
	r.first.giveBack(n)
	r.other.giveBack(n)
}

// Bytes returns how many bytes are reserved.
func (r *Reservation) Bytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes
}

// Draws reports whether the memory is reserved from the budget b.
func (r *Reservation) Draws(b *Budget) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for own := r.first; own != nil; own = own.Parent {
		if own == b {
			return true
		}
	}
	return r.other == b
}
