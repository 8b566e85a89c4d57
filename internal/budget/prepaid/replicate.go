package prepaid

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// A VM that is cut off can not be told apart from one that is lost. Its holdings are reclaimed by the
// firm bounds of its journal, so that an incarnation that can not write its journal must stay within
// them, unless enough of those that may reclaim keep a replica of higher bounds in memory. Whoever reclaims
// fences a quorum of them, which then keep no further replica, and counts the bounds that they have as
// used. None of this depends on time.

const (
	// replicateAfter is how long a journal write may take before the reclaimers are sent the bounds. Meanwhile
	// only the firm bounds can be used.
	replicateAfter = 100 * time.Millisecond
	// replicaSpan is the number of writes ahead for which a replica counts, more than are made while
	// the store is unreachable.
	replicaSpan = 1 << 20
	// replicaInterval is the maximum time between two rounds, and replicaPause the minimum.
	replicaInterval = 100 * time.Millisecond
	replicaPause    = 5 * time.Millisecond
	// reclaimerTimeout limits a call to a reclaimer.
	reclaimerTimeout = 500 * time.Millisecond
	// minoritySpan determines what may be used while one of the reclaimers keeps no replica: at the rate
	// of the journal's bounds, which is a multiple of the demand.
	minoritySpan = 6 * time.Second
)

// errReclaimerEnded reports that a later incarnation on a reclaimer's VM has answered.
var errReclaimerEnded = errors.New("another incarnation runs on its VM")

// BoundsReplica is what an incarnation may use of its holdings while it can not write its journal.
type BoundsReplica struct {
	// Incarnation is the one that uses the holdings.
	Incarnation string
	// From and UpTo are the first and the last write of its journal for which the replica counts.
	From, UpTo int64
	// Bounds are the numbers of tokens that may be used, by workspace.
	Bounds map[string]int64
}

// ReplicaAck is the answer of a router that keeps a replica.
type ReplicaAck struct {
	// Responder is the incarnation of the process that answers, and Uptime the time since that started.
	Responder string
	Uptime    time.Duration
}

// Uptime returns the time since this process started, or less.
func (m *Manager) Uptime() time.Duration {
	m.init()
	return time.Since(m.startedAt)
}

// StoreReplica keeps a replica of the bounds of an incarnation of another VM. It reports false if this router is
// fenced for one of the writes.
func (m *Manager) StoreReplica(in BoundsReplica) bool {
	r := &m.reclaims
	r.mu.Lock()
	defer r.mu.Unlock()
	if fenced, ok := r.fenced[in.Incarnation]; ok && fenced >= in.From {
		return false
	}
	last := r.replicas[in.Incarnation]
	switch {
	case in.UpTo < last.UpTo:
		// It has arrived late.
		return true
	case in.UpTo == last.UpTo:
		in.Bounds = maxBounds(last.Bounds, in.Bounds)
	}
	if r.replicas == nil {
		r.replicas = make(map[string]BoundsReplica)
	}
	// A VM has one incarnation at a time.
	maps.DeleteFunc(r.replicas, func(other string, _ BoundsReplica) bool { return VMOf(other) == VMOf(in.Incarnation) })
	r.replicas[in.Incarnation] = in
	return true
}

// maxBounds returns the higher one of two bounds for each workspace.
func maxBounds(a, b map[string]int64) map[string]int64 {
	out := maps.Clone(a)
	if out == nil {
		return b
	}
	for workspace, tokens := range b {
		out[workspace] = max(out[workspace], tokens)
	}
	return out
}

// runReplication keeps replicas of the bounds at the reclaimers while the journal can not be written, until
// ctx ends.
func (m *Manager) runReplication(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.journal.replicaDue:
		}
		for m.journal.isOverdue(time.Now()) {
			if _, tokensHeld := m.admitWaiting(); tokensHeld {
				m.replicateBounds(ctx)
			}
			if !m.journal.awaitReplicaRound(ctx) {
				return
			}
		}
	}
}

// requestReplicas schedules a check whether the reclaimers must be sent the bounds.
func (j *journal) requestReplicas() {
	select {
	case j.replicaDue <- struct{}{}:
	default:
	}
}

// awaitReplicaRound waits until the next round is due. It reports false if ctx ended first.
func (j *journal) awaitReplicaRound(ctx context.Context) bool {
	if !sleep(ctx, replicaPause) {
		return false
	}
	timer := time.NewTimer(replicaInterval - replicaPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-j.replicaDue:
	case <-timer.C:
	}
	return true
}

// replicateBounds sends the bounds to the reclaimers that lack them and have no call in progress. It does
// not wait for the answers.
func (m *Manager) replicateBounds(ctx context.Context) {
	m.journal.noteStuck()
	replica, round, due := m.nextReplica(time.Now())
	if !due {
		return
	}
	for _, reclaimer := range m.journal.beginReplicaCalls(round) {
		go func() {
			defer m.journal.endReplicaCall(reclaimer)
			m.sendReplica(ctx, reclaimer, replica, round)
		}()
	}
}

// nextReplica returns the replica to send, with the number of its round, and whether it is due: if some reclaimers
// lack the bounds of the last round, or if these will not suffice for long.
func (m *Manager) nextReplica(now time.Time) (replica BoundsReplica, round int64, due bool) {
	bounds := make(map[string]int64)
	for _, h := range m.allHoldings() {
		h.mu.Lock()
		if h.drawn > 0 {
			used := h.spentOrAwaited()
			bounds[h.workspace] = m.firmBound(h, now)
			due = due || m.journal.needsReplica(h.workspace, used+(bounds[h.workspace]-used)/2, h.drawn)
		}
		h.mu.Unlock()
	}
	replica, round = m.journal.replica(bounds, due)
	replica.Incarnation = m.incarnation()
	return replica, round, due || len(m.journal.lackingReplicas(round)) > 0
}

// needsReplica reports whether reclaimers would count fewer than the given tokens of a holding as used.
func (j *journal) needsReplica(workspace string, tokens, drawn int64) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, w := range j.bounds.maybeStored() {
		if min(tokens, drawn) > j.bounds.reclaimBound(w, workspace) {
			return true
		}
	}
	return false
}

// awaitsReplicas reports whether only the reclaimers have to keep higher bounds for the given tokens of a holding to be
// used, which they do soon.
func (j *journal) awaitsReplicas(workspace string, tokens, drawn int64, now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	lacking := false
	for _, w := range j.bounds.maybeStored() {
		if w.bounds[workspace].limitAfter(drawn, now.Sub(w.sent)-j.bounds.grace) < tokens {
			return false
		}
		lacking = lacking || j.bounds.reclaimBound(w, workspace) < tokens
	}
	return lacking && !j.bounds.replicasStuck && j.overdue(now)
}

// replica returns a replica with the given bounds, of a new round or of the last one.
func (j *journal) replica(bounds map[string]int64, newRound bool) (BoundsReplica, int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.replicaUpTo <= j.seq {
		j.replicaUpTo = j.seq + replicaSpan
	}
	if newRound || j.replicaRound == 0 {
		j.replicaRound++
	}
	r := BoundsReplica{UpTo: j.replicaUpTo, Bounds: bounds}
	if j.bounds.acked != nil {
		r.From = j.bounds.acked.seq
	}
	return r, j.replicaRound
}

// lackingReplicas returns the reclaimers that lack the bounds of a round, of the writes that may be in the store.
func (j *journal) lackingReplicas(round int64) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.DeleteFunc(j.namedReclaimers(), func(reclaimer string) bool {
		kept := j.bounds.replicas[reclaimer]
		return kept.upTo >= j.seq && (kept.round >= round || kept.ended)
	})
}

// beginReplicaCalls returns the reclaimers that lack the bounds of a round and have no call in progress, and notes
// that they have one.
func (j *journal) beginReplicaCalls(round int64) []string {
	lacking := j.lackingReplicas(round)
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.replicaCalls == nil {
		j.replicaCalls = make(map[string]bool)
	}
	out := slices.DeleteFunc(lacking, func(reclaimer string) bool { return j.replicaCalls[reclaimer] })
	for _, reclaimer := range out {
		j.replicaCalls[reclaimer] = true
	}
	return out
}

func (j *journal) endReplicaCall(reclaimer string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.replicaCalls, reclaimer)
}

// sendReplica sends a replica to one reclaimer, and uses its answer.
func (m *Manager) sendReplica(ctx context.Context, reclaimer string, replica BoundsReplica, round int64) {
	ctx, cancel := context.WithTimeout(ctx, reclaimerTimeout)
	defer cancel()
	ack, err := m.SendReplica(ctx, reclaimer, replica)
	kept := keptReplica{upTo: replica.UpTo, round: round, bounds: replica.Bounds}
	if err == nil && ack.Responder != reclaimer {
		kept.ended = m.journal.endedTooEarlyToReclaim(m.Clock() - ack.Uptime)
		if !kept.ended {
			err = errReclaimerEnded
		}
	}
	if err != nil {
		m.OnEvent(Event{Kind: ReplicaFailed, Err: fmt.Errorf("send bounds to incarnation %q: %w", reclaimer, err)})
		return
	}
	m.journal.addReplica(replica.Incarnation == m.incarnation(), reclaimer, kept)
	m.admitWaiting()
}

// sendReplicas sends a replica to the given reclaimers and waits for their answers.
func (m *Manager) sendReplicas(ctx context.Context, reclaimers []string) {
	replica, round, _ := m.nextReplica(time.Now())
	var all sync.WaitGroup
	for _, reclaimer := range reclaimers {
		all.Go(func() { m.sendReplica(ctx, reclaimer, replica, round) })
	}
	all.Wait()
}

// addReplica records that a reclaimer keeps a replica of the bounds of this incarnation.
func (j *journal) addReplica(current bool, reclaimer string, kept keptReplica) {
	j.mu.Lock()
	defer j.mu.Unlock()
	last := j.bounds.replicas[reclaimer]
	if !current || kept.upTo < last.upTo {
		return
	}
	if kept.upTo == last.upTo {
		kept.bounds = maxBounds(last.bounds, kept.bounds)
		kept.round, kept.ended = max(kept.round, last.round), kept.ended || last.ended
	}
	if j.bounds.replicas == nil {
		j.bounds.replicas = make(map[string]keptReplica)
	}
	j.bounds.replicas[reclaimer] = kept
}

// endedTooEarlyToReclaim reports whether a reclaimer that had ended by the given time of the VM's clock
// can not have been fenced. The last acknowledged write was unchanged for too short a time by then.
func (j *journal) endedTooEarlyToReclaim(ended time.Duration) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.bounds.acked != nil && ended-j.bounds.acked.sentAt < reclaimAfter-reclaimMargin
}

// isOverdue reports whether the journal can not be written, or not in time, so that the reclaimers
// are sent the bounds.
func (j *journal) isOverdue(now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.overdue(now)
}

// overdue is isOverdue for a caller that holds mu.
func (j *journal) overdue(now time.Time) bool {
	if !j.open || j.replaced || j.bounds.acked == nil {
		return false
	}
	return !j.failingSince.IsZero() || len(j.bounds.pending) > 0 && now.Sub(j.bounds.pending[0].sent) >= replicateAfter
}

// noteStuck records whether the store fails and too few reclaimers keep any replica, though they had the time.
func (j *journal) noteStuck() {
	j.mu.Lock()
	defer j.mu.Unlock()
	stuck := false
	for _, w := range j.bounds.maybeStored() {
		lacking := w.lacksReplica(j.bounds.replicas)
		stuck = stuck || len(w.reclaimers)-len(lacking) < replicaQuorum(len(w.reclaimers))
	}
	waited := !j.failingSince.IsZero() && time.Since(j.failingSince) > reclaimerTimeout
	j.bounds.replicasStuck = j.lastCallFailed && stuck && waited
}

// namedReclaimers returns the reclaimers named by the writes that may be in the store. The caller holds
// mu.
func (j *journal) namedReclaimers() []string {
	var out []string
	for _, w := range j.bounds.maybeStored() {
		out = append(out, w.reclaimers...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}
