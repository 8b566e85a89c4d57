package prepaid

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/budget/amount"
	"rosevalve/internal/platform/table"
)

const (
	// slowWrite is how long writes must fail or wait before the store is taken to be out of reach.
	slowWrite = 500 * time.Millisecond
	// retryDelay is the delay after a failed write.
	retryDelay = 100 * time.Millisecond
	// maxCopyAge is the maximum age of the copy to which the store can be rolled back,
	// including the duration of the store's outage.
	maxCopyAge = 30 * time.Second
)

// journal is the row in the store that bounds what this incarnation spends, with the state needed
// to write it.
type journal struct {
	writeRequested chan struct{}
	noteRequested  chan struct{}
	replicaDue     chan struct{}

	mu           sync.Mutex // guards the fields below; acquired after a holding's lock
	bounds       effectiveBounds
	era          uint64 // store era of the next write
	startedInEra uint64 // store era in which this incarnation started
	writtenInEra bool   // a write took effect in era
	ownedInEra   bool   // the holdings were certainly not reclaimed before era
	// confirmSince is when the check of that began; zero if none is in progress.
	confirmSince time.Time
	version      uint64 // of the row in era
	seq          int64
	epoch        int64
	open         bool
	ended        bool // nothing is used of the holdings any more
	replaced     bool
	former       map[string]formerIncarnation
	// abandoned are the former incarnations of this process, with what they have used.
	abandoned map[string]formerIncarnation
	// storeClock is the most recent clock reading of the store, received at the local time
	// storeClockAt.
	storeClock   time.Duration
	storeClockAt time.Time
	// lastCallFailed is set if the most recent call to the store failed.
	lastCallFailed bool
	// failingSince is when journal writes began to fail; zero if the last one succeeded.
	failingSince time.Time
	// nextAck is closed when a write takes effect; nil if nobody waits for it.
	nextAck chan struct{}

	// replicaUpTo is the last write for which the replicas that reclaimers are sent count; no write has
	// a higher sequence number until one takes effect.
	replicaUpTo int64
	// replicaRound counts the rounds in which replicas were sent.
	replicaRound int64
	// replicaCalls are the reclaimers that have not answered the last one yet.
	replicaCalls map[string]bool

	mirror             mirror
	mirrorLossReported bool // MirrorLost was the last event reported
	// mirrorsQueried is closed once the mirrors of former incarnations have been queried.
	mirrorsQueried chan struct{}
}

// usageLimit returns the number of tokens of a holding that may be used now, by the journal
// and by the mirror.
func (j *journal) usageLimit(workspace string, drawn int64, now time.Time) int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.open || j.replaced || j.ended {
		return 0
	}
	return min(j.bounds.usageLimit(workspace, drawn, now), j.mirror.usageLimit(workspace, drawn, now))
}

// immediateBound returns the number of tokens that the last acknowledged write allows without
// a delay.
func (j *journal) immediateBound(workspace string) int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.bounds.acked == nil {
		return 0
	}
	return min(j.bounds.acked.bounds[workspace].Tokens, j.bounds.reclaimBound(j.bounds.acked, workspace))
}

// mirrorImmediateBound returns the number of tokens that the mirror's copy allows without a
// delay.
func (j *journal) mirrorImmediateBound(workspace string) int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.mirror.immediateBound(workspace)
}

// requestWrite schedules a journal write.
func (j *journal) requestWrite() {
	select {
	case j.writeRequested <- struct{}{}:
	default:
	}
}

// updateClock records the store's clock, or a failed call if the stamp has no clock reading.
func (j *journal) updateClock(s table.Stamp, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if s.Clock == 0 {
		j.lastCallFailed = true
		return
	}
	j.storeClock, j.storeClockAt = s.Clock, now
	j.lastCallFailed = false
}

// timeUntilAllowed returns an estimate of the time after which the journal and the mirror allow the
// given number of drawn tokens of a holding to be used; negative if there is none.
func (j *journal) timeUntilAllowed(workspace string, tokens, drawn int64, now time.Time) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.open || j.replaced || j.ended {
		return -1
	}
	limit := min(j.bounds.usageLimit(workspace, drawn, now), j.mirror.usageLimit(workspace, drawn, now))
	if tokens > limit && j.storeAnswers(now) {
		// The next write allows them, and names another mirror or none if this one does not answer.
		return replicateAfter
	}
	return j.bounds.timeUntilAllowed(workspace, tokens, now)
}

// storeAnswers reports whether writes have neither failed nor waited for long. The caller holds mu.
func (j *journal) storeAnswers(now time.Time) bool {
	if len(j.bounds.pending) > 0 && now.Sub(j.bounds.pending[0].sent) >= slowWrite {
		return false
	}
	return j.failingSince.IsZero() || now.Sub(j.failingSince) < slowWrite
}

// storeUnreachable reports whether the most recent call to the store failed. Requests do not
// wait for the store then; journal writes continue and detect its return.
func (j *journal) storeUnreachable() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.lastCallFailed
}

// storeTime returns an estimate of the store's clock that is never ahead of it. The caller
// holds mu.
func (j *journal) storeTime(now time.Time) time.Duration {
	return j.storeClock + now.Sub(j.storeClockAt)
}

// storeClockNow returns an estimate of the store's clock that is never ahead of it.
func (j *journal) storeClockNow() time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.storeTime(time.Now())
}

// runJournal writes the journal when a reservation needs it and when its row reaches its
// maximum age. It returns errReclaimed if another router has reclaimed this incarnation's
// holdings.
func (m *Manager) runJournal(ctx context.Context) error {
	var lastWrite time.Time
	timer := time.NewTimer(journalRefreshInterval)
	defer timer.Stop()
	for {
		due := false
		select {
		case <-ctx.Done():
			return nil
		case <-m.journal.writeRequested:
			due = true
		case <-timer.C:
		}
		waiting, tokensHeld := m.admitWaiting()
		if due || tokensHeld && time.Since(lastWrite) >= journalRefreshInterval {
			lastWrite = time.Now()
			err := m.writeJournal(ctx)
			switch {
			case errors.Is(err, errReplaced):
				m.OnEvent(Event{Kind: JournalReplaced, Err: err})
				return nil
			case errors.Is(err, errReclaimed):
				return err
			}
			m.reportJournal(err)
			if err != nil {
				m.journal.requestReplicas()
			}
			if err != nil && !sleep(ctx, retryDelay) {
				return nil
			}
			if err != nil {
				m.journal.requestWrite()
			}
			waiting, _ = m.admitWaiting()
		}
		pause := journalRefreshInterval
		if waiting {
			// The bounds in force rise while the store is unreachable.
			pause = waitPollInterval
		}
		timer.Reset(pause)
	}
}

// admitWaiting admits the waiting reservations that are within the bounds now. It reports
// whether some still wait, and whether any tokens are held.
func (m *Manager) admitWaiting() (waiting, tokensHeld bool) {
	now := time.Now()
	for _, h := range m.allHoldings() {
		h.mu.Lock()
		if len(h.waiting) > 0 {
			h.admit(m.journal.usageLimit(h.workspace, h.drawn, now))
		}
		waiting = waiting || len(h.waiting) > 0
		tokensHeld = tokensHeld || h.drawn > 0
		h.mu.Unlock()
	}
	return waiting, tokensHeld
}

// headroom returns the number of tokens that a bound allows beyond current use. It must
// suffice until the end of the grace period, but is only a fraction of the free tokens, since
// it is lost if the incarnation ends. The caller holds h.mu.
func (m *Manager) headroom(h *holding, now time.Time) int64 {
	ahead := amount.FromFloat(headroomFactor * h.demand.TokenRate(now) * m.GracePeriod.Seconds())
	return min(ahead, h.free()/headroomDivisor)
}

// firmHeadroom returns the part of the headroom that is lost if the holding is reclaimed. The caller
// holds h.mu.
func (m *Manager) firmHeadroom(h *holding, now time.Time) int64 {
	return min(m.headroom(h, now), m.prepaidTotal(h.workspace)/firmDivisor)
}

// firmBound returns what may be used of a holding whether other routers reclaim it or not. The
// caller holds h.mu.
func (m *Manager) firmBound(h *holding, now time.Time) int64 {
	headroom := int64(0)
	if !m.headroomRemoved.Load() {
		headroom = m.firmHeadroom(h, now)
	}
	return min(h.drawn, h.spentOrAwaited()+headroom)
}

// journalBound returns the bound of a holding for the next journal write. The caller holds
// h.mu.
func (m *Manager) journalBound(h *holding, now time.Time) Bound {
	if m.headroomRemoved.Load() {
		return Bound{Tokens: min(h.drawn, h.spentOrAwaited()), ClosedUsage: h.row.ClosedUsage}
	}
	tokens := min(h.drawn, h.spentOrAwaited()+m.headroom(h, now))
	rate := max(rateFactor*h.demand.TokenRate(now), float64(h.drawn-tokens)/fullSpendTime.Seconds())
	return Bound{Tokens: tokens, Rate: amount.FromFloat(rate), ClosedUsage: h.row.ClosedUsage}
}

// mustBeListed reports whether the journal must list the workspace: if tokens are held or
// about to be drawn, and afterwards for as long as a copy of the store may still show them as
// held. The caller holds h.mu.
func (h *holding) mustBeListed(now time.Time) bool {
	return h.drawn > 0 || h.listedSeq > 0 || !h.closedAt.IsZero() && now.Sub(h.closedAt) < maxCopyAge
}

// writeJournal writes the bounds once.
func (m *Manager) writeJournal(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := m.confirmOwned(ctx); err != nil {
		return fmt.Errorf("write journal: %w", err)
	}
	now, clock := time.Now(), m.Clock()
	reclaimers, firm := m.Reclaimers(), make(map[string]int64)
	begin := func(bounds map[string]Bound) *boundsWrite {
		return m.journal.beginWrite(bounds, reclaimers, firm, now, clock)
	}
	boundOf := func(h *holding, now time.Time) Bound {
		firm[h.workspace] = m.firmBound(h, now)
		return m.journalBound(h, now)
	}
	w := m.beginBounds(begin, boundOf, now)
	mirror, from := m.chooseMirror()
	c, err := m.journal.buildCommit(m, w, mirror, from)
	if err != nil {
		return err
	}
	overdue := time.AfterFunc(replicateAfter, m.journal.requestReplicas)
	defer overdue.Stop()
	stamp, err := m.Commit(ctx, c)
	m.observeStamp(stamp)
	if stamp.Era != w.era && (err == nil || stamp.Clock != 0) {
		// The outcome of a call in another era says nothing about a write in this one.
		return fmt.Errorf("write journal: %w", errEraPassed)
	}
	return m.finishWrite(w, stamp, err, mirror, from)
}

// beginBounds computes the bounds of the next journal write or mirror note and registers it as
// pending. Tokens taken before it was registered are included by the second loop; later use is
// limited by the pending write itself.
func (m *Manager) beginBounds(begin func(bounds map[string]Bound) *boundsWrite, boundOf func(h *holding, now time.Time) Bound, now time.Time) *boundsWrite {
	holdings := m.allHoldings()
	bounds := make(map[string]Bound, len(holdings))
	for _, h := range holdings {
		h.mu.Lock()
		if h.mustBeListed(now) {
			bounds[h.workspace] = boundOf(h, now)
		}
		h.mu.Unlock()
	}
	w := begin(bounds)
	if w == nil {
		return nil
	}
	for _, h := range holdings {
		h.mu.Lock()
		m.journal.raiseBound(w, h.workspace, min(h.drawn, h.spentOrAwaited()))
		h.mu.Unlock()
	}
	return w
}

func (j *journal) beginWrite(bounds map[string]Bound, reclaimers []string, firm map[string]int64, now time.Time, clock time.Duration) *boundsWrite {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.seq++
	w := j.bounds.begin(j.seq, bounds, now, clock)
	w.reclaimers, w.firm = reclaimers, firm
	return w
}

// raiseBound increases the bound of a write to at least the given number of tokens.
func (j *journal) raiseBound(w *boundsWrite, workspace string, tokens int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if b := w.bounds[workspace]; tokens > b.Tokens {
		b.Tokens = tokens
		w.bounds[workspace] = b
	}
	if w.firm != nil && tokens > w.firm[workspace] {
		w.firm[workspace] = tokens
	}
}

// buildCommit returns the store commit for a journal write.
func (j *journal) buildCommit(m *Manager, w *boundsWrite, mirror string, from int64) (table.Commit, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	w.era = j.era
	row := journalRow{
		Incarnation: m.incarnation(), Epoch: j.epoch, Seq: w.seq, Since: j.startedInEra, Accounted: m.eras.isHistoryKnown(),
		AtMS: j.storeTime(w.sent).Milliseconds(), Bounds: w.bounds, Former: j.former, Mirror: mirror, MirrorFrom: from, Reclaimers: w.reclaimers, Firm: w.firm,
	}
	var c table.Commit
	c.RequireAt(journalLocation(m.VM, j.era), j.version)
	if err := c.SetAt(journalLocation(m.VM, j.era), row); err != nil {
		return c, fmt.Errorf("write journal: %w", err)
	}
	return c, nil
}

// finishWrite records the outcome of a journal write; one with an unknown outcome stays
// pending.
func (m *Manager) finishWrite(w *boundsWrite, stamp table.Stamp, err error, mirror string, from int64) error {
	j := &m.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	var conflict *table.ConflictError
	switch {
	case j.era != w.era:
		return fmt.Errorf("write journal: %w", errEraPassed)
	case err == nil:
		j.version, j.writtenInEra = stamp.Version, true
		j.ackWrite(w)
		j.setMirror(mirror, from)
		return nil
	case errors.As(err, &conflict) && len(conflict.Rows) == 1:
		return j.resolvePending(m.incarnation(), conflict.Rows[0])
	case errors.Is(err, table.ErrUnavailable):
		j.bounds.discard(w)
		return fmt.Errorf("write journal: %w", err)
	default:
		return fmt.Errorf("write journal: %w", err)
	}
}

// resolvePending determines from the stored row which of the pending writes took effect. The
// caller holds mu.
func (j *journal) resolvePending(incarnation string, stored table.Row) error {
	var row journalRow
	if err := json.Unmarshal(stored.Value, &row); err != nil {
		return fmt.Errorf("decode journal: %w", err)
	}
	if _, mine := row.Former[incarnation]; mine && isReclaimedID(row.Incarnation) {
		j.replaced = true
		return fmt.Errorf("%w: incarnation %q", errReclaimed, row.Incarnation)
	}
	w, known := j.bounds.findPending(row.Seq)
	if row.Incarnation != incarnation || !known {
		j.replaced = true
		return fmt.Errorf("%w: incarnation %q, write %d", errReplaced, row.Incarnation, row.Seq)
	}
	j.version, j.writtenInEra = stored.Version, true
	j.ackWrite(w)
	j.setMirror(row.Mirror, row.MirrorFrom)
	j.requestWrite()
	return nil
}

// sleep waits for d. It reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
