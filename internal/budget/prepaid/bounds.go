package prepaid

import (
	"slices"
	"time"
)

// boundsWrite is one write of the journal, or one note to the mirror: the bounds, and when it
// was sent by this process's clock, which stops while the process is suspended.
type boundsWrite struct {
	seq    int64
	era    uint64 // store era in which it was sent
	bounds map[string]Bound
	sent   time.Time
	sentAt time.Duration // the same by the VM's clock, which continues during a suspend
	// reclaimers are the incarnations that may reclaim the holdings by this write, and firm is what
	// may be used of each workspace nonetheless.
	reclaimers []string
	firm       map[string]int64
}

// effectiveBounds determines what this incarnation may use from the writes of its bounds that are
// in force or may be.
type effectiveBounds struct {
	grace time.Duration

	acked *boundsWrite // last write that certainly took effect; nil before the first
	// pending are writes that may have taken effect: the one in progress, and those whose
	// answer was lost. Their bounds and rates never decrease and they share the send time of
	// the first, so that the first allows the least.
	pending []*boundsWrite

	// deferrals are the sequence numbers of the last writes by which reclaimers have agreed not
	// to reclaim, by the incarnation that a write names.
	deferrals map[string]int64
	// deferralsStuck is set if the store failed and too few reclaimers had agreed when they were last
	// asked.
	deferralsStuck bool
}

// maybeStored returns the writes that may be in force: the acknowledged one and the pending ones.
func (eb *effectiveBounds) maybeStored() []*boundsWrite {
	if eb.acked == nil {
		return eb.pending
	}
	return append([]*boundsWrite{eb.acked}, eb.pending...)
}

// usageLimit returns the number of tokens of a holding that may be used at a time: the least
// that the acknowledged write allows, or one that may have replaced it.
func (eb *effectiveBounds) usageLimit(workspace string, drawn int64, now time.Time) int64 {
	if eb.acked == nil {
		return 0
	}
	out := eb.limitBy(eb.acked, workspace, drawn, now)
	for _, w := range eb.pending {
		out = min(out, eb.limitBy(w, workspace, drawn, now))
	}
	return out
}

// limitBy returns what one write allows: its firm bound while other routers may reclaim the
// holding by it, or else its bound, and after the grace period more at its rate.
func (eb *effectiveBounds) limitBy(w *boundsWrite, workspace string, drawn int64, now time.Time) int64 {
	if !eb.isDeferred(w) {
		return min(w.firm[workspace], drawn)
	}
	return w.bounds[workspace].limitAfter(drawn, now.Sub(w.sent)-eb.grace)
}

// isDeferred reports whether enough reclaimers have agreed not to reclaim by the write.
func (eb *effectiveBounds) isDeferred(w *boundsWrite) bool {
	return len(w.reclaimers)-len(w.missingDeferrals(eb.deferrals)) >= deferralQuorum(len(w.reclaimers))
}

// timeUntilAllowed returns the time after which the given number of tokens of a holding may be
// used if no further write takes effect; negative if that never happens.
func (eb *effectiveBounds) timeUntilAllowed(workspace string, tokens int64, now time.Time) time.Duration {
	if eb.acked == nil {
		return -1
	}
	wait := eb.timeUntilAllowedBy(eb.acked, workspace, tokens, now)
	for _, w := range eb.pending {
		next := eb.timeUntilAllowedBy(w, workspace, tokens, now)
		if wait < 0 || next < 0 {
			return -1
		}
		wait = max(wait, next)
	}
	return wait
}

// timeUntilAllowedBy returns the time until one write allows the given number of tokens;
// negative if it never does.
func (eb *effectiveBounds) timeUntilAllowedBy(w *boundsWrite, workspace string, tokens int64, now time.Time) time.Duration {
	deferral := time.Duration(0)
	if !eb.isDeferred(w) {
		switch {
		case tokens <= w.firm[workspace]:
			return 0
		case eb.deferralsStuck:
			return -1
		}
		// Either the next write takes effect soon, or the reclaimers are asked to defer.
		deferral = max(deferralInterval, w.sent.Add(deferAfter+deferralInterval).Sub(now))
	}
	b := w.bounds[workspace]
	more := tokens - b.Tokens
	switch {
	case more <= 0:
		return deferral
	case b.Rate <= 0:
		return -1
	}
	atRate := time.Duration(float64(more) / float64(b.Rate) * float64(time.Second))
	return max(deferral, w.sent.Add(eb.grace+atRate).Sub(now))
}

// begin adds the next write as a pending one and returns it. It allows no less than the
// pending writes before it.
func (eb *effectiveBounds) begin(seq int64, bounds map[string]Bound, now time.Time, clock time.Duration) *boundsWrite {
	w := &boundsWrite{seq: seq, bounds: bounds, sent: now, sentAt: clock}
	if n := len(eb.pending); n > 0 {
		last := eb.pending[n-1]
		w.sent, w.sentAt = last.sent, last.sentAt
		for workspace, b := range last.bounds {
			own := w.bounds[workspace]
			w.bounds[workspace] = Bound{Tokens: max(own.Tokens, b.Tokens), Rate: max(own.Rate, b.Rate)}
		}
	}
	eb.pending = append(eb.pending, w)
	return w
}

// ack records that the write certainly took effect, and that no pending one can any more.
func (eb *effectiveBounds) ack(w *boundsWrite) {
	eb.acked, eb.deferralsStuck = w, false
	eb.pending = nil
}

// discard records that the write certainly never takes effect.
func (eb *effectiveBounds) discard(w *boundsWrite) {
	eb.pending = slices.DeleteFunc(eb.pending, func(other *boundsWrite) bool { return other == w })
}

// findPending returns the pending write with the sequence number.
func (eb *effectiveBounds) findPending(seq int64) (*boundsWrite, bool) {
	for _, w := range eb.pending {
		if w.seq == seq {
			return w, true
		}
	}
	return nil, false
}
