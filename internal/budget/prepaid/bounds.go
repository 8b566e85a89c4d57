package prepaid

import (
	"maps"
	"math"
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

	// replicas are the bounds that reclaimers keep, by the incarnation that a write names.
	replicas map[string]keptReplica
	// replicasStuck is set if the store failed and too few reclaimers have kept the bounds last sent.
	replicasStuck bool
}

// keptReplica is a replica of the bounds that a reclaimer has acknowledged.
type keptReplica struct {
	upTo   int64 // last write for which it counts the bounds as used
	round  int64 // in which the bounds were sent
	bounds map[string]int64
	// ended is set if the reclaimer has ended before it can have been fenced, so that it never reclaims.
	ended bool
}

// bound returns what the reclaimer counts as used of a workspace's holding if that is reclaimed by a write.
func (r keptReplica) bound(seq int64, workspace string) int64 {
	switch {
	case r.upTo < seq:
		return 0
	case r.ended:
		return math.MaxInt64
	default:
		return r.bounds[workspace]
	}
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

// limitBy returns what one write allows: its bound, and after the grace period more at its rate, but
// no more than other routers count as used if they reclaim the holding by it.
func (eb *effectiveBounds) limitBy(w *boundsWrite, workspace string, drawn int64, now time.Time) int64 {
	return min(eb.reclaimBound(w, workspace), w.bounds[workspace].limitAfter(drawn, now.Sub(w.sent)-eb.grace))
}

// reclaimBound returns what other routers count as used at least if they reclaim a holding by the write: its
// firm bound, or what a quorum of the reclaimers keeps. If not all of them do, the one that lacks it may
// reclaim alone, and counts what may be used in a minority.
func (eb *effectiveBounds) reclaimBound(w *boundsWrite, workspace string) int64 {
	quorum := replicaQuorum(len(w.reclaimers))
	if quorum == 0 {
		return math.MaxInt64
	}
	firm := w.firm[workspace]
	if len(eb.replicas) == 0 {
		return firm
	}
	kept := make([]int64, len(w.reclaimers))
	for n, reclaimer := range w.reclaimers {
		kept[n] = eb.replicas[reclaimer].bound(w.seq, workspace)
	}
	slices.Sort(kept)
	byAll, byQuorum := kept[0], kept[len(kept)-quorum]
	return max(firm, byAll, min(byQuorum, w.bounds[workspace].mostInMinority()))
}

// lacksReplica returns the named reclaimers of which no replica counts for the write.
func (w *boundsWrite) lacksReplica(replicas map[string]keptReplica) []string {
	var out []string
	for _, reclaimer := range w.reclaimers {
		if kept, ok := replicas[reclaimer]; !ok || kept.upTo < w.seq {
			out = append(out, reclaimer)
		}
	}
	return out
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
	b := w.bounds[workspace]
	replication := time.Duration(0)
	if tokens > eb.reclaimBound(w, workspace) {
		inMinority := len(w.lacksReplica(eb.replicas)) > 0 && tokens > b.mostInMinority()
		if eb.replicasStuck || inMinority && eb.acked != nil && now.Sub(w.sent) > replicateAfter+reclaimerTimeout {
			return -1
		}
		// Either the next write takes effect soon, or the reclaimers are sent the bounds.
		replication = max(replicaInterval, w.sent.Add(replicateAfter+replicaInterval).Sub(now))
	}
	more := tokens - b.Tokens
	switch {
	case more <= 0:
		return replication
	case b.Rate <= 0:
		return -1
	}
	atRate := time.Duration(float64(more) / float64(b.Rate) * float64(time.Second))
	return max(replication, w.sent.Add(eb.grace+atRate).Sub(now))
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
	eb.acked, eb.replicasStuck = w, false
	eb.pending = nil
	maps.DeleteFunc(eb.replicas, func(_ string, r keptReplica) bool { return r.upTo < w.seq })
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
