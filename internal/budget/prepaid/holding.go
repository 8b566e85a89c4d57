package prepaid

import (
	"slices"
	"sync"
	"time"

	"rosevalve/internal/budget/demand"
)

// holding is the state of the tokens that this incarnation has drawn from one workspace's total.
type holding struct {
	workspace string

	mu sync.Mutex // guards the fields below; acquired before the journal's lock
	// drawn is the number of tokens whose draw the store has acknowledged.
	drawn int64
	// spent is the part of drawn that was billed, is reserved or was transferred to other
	// routers. It never exceeds the usage limit of the journal.
	spent int64
	// received is the number of free tokens that other routers transferred here; they count as
	// spent there.
	received int64
	// returning is the number of tokens that may already be back in the workspace's total, by
	// a return that is in progress or whose outcome is unknown.
	returning int64
	waiting   []*waiter // in order of arrival
	demand    demand.Meter
	inflight  *inflightCommit // the draw, return or settlement in progress, if any
	lastDraw  drawOutcome     // outcome of the previous draw

	// The rows as most recently read or written, for the conditions of the next commit. They
	// are valid if rowsCurrent is set, which means that they exist in the store's era.
	era                      uint64
	rowsCurrent              bool
	totalVersion, rowVersion uint64
	total                    totalRow
	row                      holdingRow
	// rowToRestore is the VM's row at the end of the previous era, if this incarnation knew it;
	// stored is what the store contains in the current era.
	rowToRestore *holdingRow
	stored       *storedRows

	nextRefill   time.Time // earliest time of the next draw ahead of demand
	nextDrawHint time.Time // earliest time of the next draw hint to other routers

	closedAt time.Time // when this incarnation or a former one last closed the holding, or later; zero if never

	// listedSeq is the sequence number of the first journal write that lists the workspace for
	// the coming draws; 0 if there is none.
	listedSeq int64

	// reserveNeeded is set if a request could be served from the reserve only, until notice of that is
	// given in the store.
	reserveNeeded bool

	// lastCheck is the last check of all holdings of the workspace.
	lastCheck exhaustionCheck
}

// currentEra returns the store era to which the holding's rows belong.
func (h *holding) currentEra() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.era
}

// waiter is a reservation that exceeds the usage limit for now.
type waiter struct {
	tokens int64
	done   chan struct{} // closed when the tokens are counted as spent
}

// inflightCommit is a commit on the holding's rows that any number of requests wait for. There is
// one at a time, so that answers arrive in the order of the commits.
type inflightCommit struct {
	done chan struct{}
	err  error // valid once done is closed
}

// free returns the number of tokens that are neither spent, waited for nor being returned. The
// caller holds mu.
func (h *holding) free() int64 { return h.drawn - h.spentOrAwaited() - h.returning }

// needsReserve reports whether notice that the reserve will be drawn is due.
func (h *holding) needsReserve() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reserveNeeded && h.total.OpenedAtMS == 0
}

// spentOrAwaited returns the number of tokens that are spent or waited for. The caller holds
// mu.
func (h *holding) spentOrAwaited() int64 {
	total := h.spent
	for _, w := range h.waiting {
		total += w.tokens
	}
	return total
}

// reserve reserves n tokens, received ones first. It returns nil if too few are free, and a
// waiter if the usage limit must rise first. The caller holds mu.
func (h *holding) reserve(n, allowed int64) (*Reservation, *waiter) {
	received := min(n, h.received)
	own := n - received
	if own > h.free() {
		return nil, nil
	}
	h.received -= received
	r := &Reservation{holding: h, own: own, received: received}
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

// admit counts waiting reservations as spent as far as the usage limit allows. The caller
// holds mu.
func (h *holding) admit(allowed int64) {
	for len(h.waiting) > 0 && h.spent+h.waiting[0].tokens <= allowed {
		h.spent += h.waiting[0].tokens
		close(h.waiting[0].done)
		h.waiting = h.waiting[1:]
	}
}

// cancelWait cancels a reservation that was not admitted in time. It reports false if the
// reservation has just been admitted.
func (h *holding) cancelWait(r *Reservation, w *waiter) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, other := range h.waiting {
		if other == w {
			h.waiting = slices.Delete(h.waiting, i, i+1)
			h.received += r.received
			return true
		}
	}
	return false
}
