package prepaid

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// A VM that is cut off can not be told apart from one that is lost. Its holdings are reclaimed by
// the bounds of its journal, so that an incarnation that can not write its journal must stay
// within them, unless enough of those that may reclaim have promised not to do so by the rows that may be in
// the store. The promise is about sequence numbers, not about time.

const (
	// deferAfter is how long a journal write may take before the reclaimers are asked. Meanwhile only
	// the firm bounds can be used.
	deferAfter = 100 * time.Millisecond
	// deferralSpan is the number of writes ahead for which they are asked, more than are made
	// while the store is unreachable.
	deferralSpan = 1 << 20
	// deferralInterval is the time between two rounds of requests.
	deferralInterval = 100 * time.Millisecond
	// deferralTimeout limits the requests of one round.
	deferralTimeout = 500 * time.Millisecond
)

// runDeferrals asks the reclaimers to defer while the journal can not be written, until ctx ends.
func (m *Manager) runDeferrals(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.journal.deferralDue:
		}
		for m.journal.isOverdue(time.Now()) {
			if _, tokensHeld := m.admitWaiting(); tokensHeld {
				m.requestDeferrals(ctx)
			}
			if !sleep(ctx, deferralInterval) {
				return
			}
		}
	}
}

// checkDeferral schedules a check whether the reclaimers must be asked.
func (j *journal) checkDeferral() {
	select {
	case j.deferralDue <- struct{}{}:
	default:
	}
}

// requestDeferrals asks the reclaimers whose agreement is missing.
func (m *Manager) requestDeferrals(ctx context.Context) {
	reclaimers, from, upTo := m.journal.undeferred()
	m.askToDefer(ctx, reclaimers, from, upTo)
	m.journal.noteDeferrals()
}

// noteDeferrals records whether the store fails and too few reclaimers have agreed to defer.
func (j *journal) noteDeferrals() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.bounds.deferralsStuck = j.lastCallFailed && len(j.undeferredReclaimers()) > 0
}

// Deferral is the answer of a router that defers.
type Deferral struct {
	// Responder is the incarnation of the process that answers, and Uptime the time since that started.
	Responder string
	Uptime    time.Duration
}

// Uptime returns the time since this process started, or less.
func (m *Manager) Uptime() time.Duration {
	m.init()
	return time.Since(m.startedAt)
}

// askToDefer asks reclaimers to defer, and uses the agreements as they arrive.
func (m *Manager) askToDefer(ctx context.Context, reclaimers []string, from, upTo int64) {
	ctx, cancel := context.WithTimeout(ctx, deferralTimeout)
	defer cancel()
	incarnation := m.incarnation()
	var all sync.WaitGroup
	for _, reclaimer := range reclaimers {
		all.Go(func() {
			answer, err := m.RequestDeferral(ctx, reclaimer, incarnation, from, upTo)
			if err == nil && answer.Responder != reclaimer && !m.journal.endedTooEarlyToReclaim(m.Clock()-answer.Uptime) {
				err = errReclaimerEnded
			}
			if err != nil {
				m.OnEvent(Event{Kind: DeferralFailed, Err: fmt.Errorf("ask incarnation %q to defer: %w", reclaimer, err)})
				return
			}
			m.journal.addDeferral(reclaimer, upTo)
			m.admitWaiting()
		})
	}
	all.Wait()
}

// endedTooEarlyToReclaim reports whether a reclaimer that had ended by the given time of the VM's clock
// can not have reclaimed the holdings. The last acknowledged write was unchanged for too short a time by
// then.
func (j *journal) endedTooEarlyToReclaim(ended time.Duration) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.bounds.acked != nil && ended-j.bounds.acked.sentAt < reclaimAfter-reclaimMargin
}

// isOverdue reports whether the journal can not be written, or not in time, so that the reclaimers
// are asked to defer.
func (j *journal) isOverdue(now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.open || j.replaced || j.bounds.acked == nil {
		return false
	}
	return !j.failingSince.IsZero() || len(j.bounds.pending) > 0 && now.Sub(j.bounds.pending[0].sent) >= deferAfter
}

// undeferred returns the reclaimers that have not agreed to defer, of the writes that may be in the
// store and lack agreements, and the first and the last write for which they are asked.
func (j *journal) undeferred() (reclaimers []string, from, upTo int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.deferUpTo <= j.seq {
		j.deferUpTo = j.seq + deferralSpan
	}
	if j.bounds.acked != nil {
		from = j.bounds.acked.seq
	}
	return j.undeferredReclaimers(), from, j.deferUpTo
}

// undeferredReclaimers returns the reclaimers that have not agreed to defer, of the writes that may be
// in the store and lack agreements; none if enough have agreed. The caller holds mu.
func (j *journal) undeferredReclaimers() []string {
	var out []string
	for _, w := range j.bounds.maybeStored() {
		if !j.bounds.isDeferred(w) {
			out = append(out, w.missingDeferrals(j.bounds.deferrals)...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
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

// missingDeferrals returns the reclaimers that have not agreed to defer.
func (w *boundsWrite) missingDeferrals(deferrals map[string]int64) []string {
	var out []string
	for _, reclaimer := range w.reclaimers {
		if deferrals[reclaimer] < w.seq {
			out = append(out, reclaimer)
		}
	}
	return out
}

// addDeferral records that a reclaimer has agreed to defer up to a write.
func (j *journal) addDeferral(reclaimer string, upTo int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.bounds.deferrals == nil {
		j.bounds.deferrals = make(map[string]int64)
	}
	j.bounds.deferrals[reclaimer] = max(j.bounds.deferrals[reclaimer], upTo)
}

// Defer promises not to agree that the holdings of an incarnation of another VM are reclaimed by its
// journal writes up to a sequence number. It reports false if this incarnation has agreed to that
// already for one of them, from the given one on.
func (m *Manager) Defer(incarnation string, from, upTo int64) bool {
	r := &m.reclaims
	r.mu.Lock()
	defer r.mu.Unlock()
	if fenced, ok := r.fenced[incarnation]; ok && fenced >= from {
		return false
	}
	if r.deferred == nil {
		r.deferred = make(map[string]int64)
	}
	r.deferred[incarnation] = max(r.deferred[incarnation], upTo)
	return true
}
