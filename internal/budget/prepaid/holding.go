package prepaid

import (
	"slices"
	"sync"
	"time"

	"rosevalve/internal/budget/demand"
)

// holding is what this life has drawn of one workspace's tokens.
type holding struct {
	workspace string

	mu sync.Mutex // guards the fields below; taken before the journal's lock
	// drawn is what the store has acknowledged, in tokens.
	drawn int64
	// spent is what was billed, is reserved or was given away, out of drawn. It stays
	// within what the journal allows.
	spent int64
	// gifts are free tokens that other routers have given; those count as spent there.
	gifts int64
	// returning are tokens that may be back in the workspace's total.
	returning int64
	waiting   []*waiter // in the order of arrival
	asked     demand.Meter
	flight    *flight   // the draw that is under way, if any
	drawing   drawState // how the last one has ended

	// The rows as last seen, for the conditions of the next draw. They count if known is
	// set, which tells that they stand in the store's era.
	era                      uint64
	known                    bool
	totalVersion, rowVersion uint64
	allotted                 int64
	row                      holdingRow
	// truth is the VM's row as of the last era, if this life knew it; found is what the
	// store shows in this one.
	truth *holdingRow
	found *found

	refillAt time.Time // earliest time of the next draw ahead of demand
	inviteAt time.Time // earliest time of the next invitation to others

	closedAt time.Time // when this life last closed a holding here; zero if it has not

	// named is the first write of the journal that names the workspace for the draws to
	// come; 0 if none does.
	named int64

	// verdict is the last look at all holdings of the workspace.
	verdict verdict
}

// eraOf returns the store's era to which the holding's rows belong.
func (h *holding) eraOf() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.era
}

// waiter is a reservation that the journal does not cover yet.
type waiter struct {
	tokens int64
	done   chan struct{} // closed when the tokens are counted as spent
}

// flight is one draw that any number of requests wait for.
type flight struct {
	done chan struct{}
	err  error // valid after done is closed
}

// free returns what may be spent besides. The caller holds mu.
func (h *holding) free() int64 { return h.drawn - h.wanted() - h.returning }

// wanted returns what is spent or waited for. The caller holds mu.
func (h *holding) wanted() int64 {
	wanted := h.spent
	for _, w := range h.waiting {
		wanted += w.tokens
	}
	return wanted
}

// take reserves n tokens, gifts first. It returns nil if they are not there, and a
// waiter if they must be covered first. The caller holds mu.
func (h *holding) take(n, allowed int64) (*Reservation, *waiter) {
	gift := min(n, h.gifts)
	own := n - gift
	if own > h.free() {
		return nil, nil
	}
	h.gifts -= gift
	r := &Reservation{holding: h, own: own, gift: gift}
	if own == 0 {
		return r, nil
	}
	if len(h.waiting) == 0 && h.spent+own <= allowed {
		h.spent += own
		return r, nil
	}
	w := &waiter{tokens: own, done: make(chan struct{})}
	h.waiting = append(h.waiting, w)
	return r, w
}

// grant counts those reservations as spent that are covered now. The caller holds mu.
func (h *holding) grant(allowed int64) {
	for len(h.waiting) > 0 && h.spent+h.waiting[0].tokens <= allowed {
		h.spent += h.waiting[0].tokens
		close(h.waiting[0].done)
		h.waiting = h.waiting[1:]
	}
}

// withdraw takes back a reservation that was not covered in time, and reports false
// if it has just been.
func (h *holding) withdraw(r *Reservation, w *waiter) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, other := range h.waiting {
		if other == w {
			h.waiting = slices.Delete(h.waiting, i, i+1)
			h.gifts += r.gift
			return true
		}
	}
	return false
}
