package prepaid

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"rosevalve/internal/platform/table"
)

// confirmTimeout is how long an incarnation that was out of touch tries to find out after a rollback of
// the store whether its holdings were reclaimed.
const confirmTimeout = 3 * time.Second

// confirmOwned checks before the journal's first write in a new era that the holdings were not
// reclaimed in an earlier one: the write would not fail for that. The copy may not show it; then
// those that may have done so are asked, each incarnation by itself, unless the last write was too
// recent for that. It returns errReclaimed if the holdings were reclaimed, or if that stays unknown.
func (m *Manager) confirmOwned(ctx context.Context) error {
	reclaimers, due := m.journal.unconfirmed()
	if !due {
		return nil
	}
	last, _, err := m.readJournal(ctx, m.VM)
	if err != nil {
		return err
	}
	if _, mine := last.row.Former[m.incarnation()]; mine && isReclaimedID(last.row.Incarnation) {
		return m.journal.giveUp(fmt.Errorf("%w: incarnation %q", errReclaimed, last.row.Incarnation))
	}
	if m.journal.setConfirmed(m.Clock()) {
		return nil
	}
	m.sendReplicas(ctx, reclaimers)
	switch {
	case m.journal.setConfirmed(m.Clock()):
		return nil
	case m.journal.confirmOverdue(time.Now()):
		return m.journal.giveUp(fmt.Errorf("%w, as far as known: too few of those that may have done so deny it", errReclaimed))
	default:
		return fmt.Errorf("ask whether the holdings were reclaimed: %w: %w", errTooFewFenced, table.ErrUnavailable)
	}
}

// unconfirmed returns the incarnations that may have reclaimed the holdings without a trace in the current
// era, and whether a check is due.
func (j *journal) unconfirmed() (reclaimers []string, due bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.writtenInEra || j.ownedInEra || !j.open {
		return nil, false
	}
	if j.confirmSince.IsZero() {
		j.confirmSince = time.Now()
	}
	for _, w := range j.bounds.maybeStored() {
		reclaimers = append(reclaimers, w.lacksReplica(j.bounds.replicas)...)
	}
	slices.Sort(reclaimers)
	return slices.Compact(reclaimers), true
}

// confirmOverdue reports whether the check has taken too long.
func (j *journal) confirmOverdue(now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return now.Sub(j.confirmSince) > confirmTimeout
}

// setConfirmed records that the holdings were not reclaimed before the current era, if enough
// reclaimers have denied it or the last write was too recent. It reports whether that is so.
func (j *journal) setConfirmed(now time.Duration) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	unchanged := now - j.bounds.acked.sentAt + reclaimMargin
	for _, w := range j.bounds.maybeStored() {
		denied := len(w.reclaimers) - len(w.lacksReplica(j.bounds.replicas))
		byQuorum := unchanged >= reclaimAfter && denied < replicaQuorum(len(w.reclaimers))
		byOne := unchanged >= reclaimAloneAfter && denied < len(w.reclaimers)
		if byQuorum || byOne {
			return false
		}
	}
	j.ownedInEra, j.confirmSince = true, time.Time{}
	return true
}

// giveUp ends the use of the holdings for the given reason.
func (j *journal) giveUp(reason error) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.replaced = true
	return reason
}

// withAbandoned adds what the former incarnations of this process have used to what the store tells.
func (j *journal) withAbandoned(former map[string]formerIncarnation) map[string]formerIncarnation {
	j.mu.Lock()
	defer j.mu.Unlock()
	maps.Copy(former, j.abandoned)
	return former
}

// reopen continues as a new incarnation after another router has reclaimed the holdings of this
// one, which it believed to be lost. Whatever this one has used is within the bounds by which
// they were reclaimed.
func (m *Manager) reopen(ctx context.Context, cause error) error {
	m.OnEvent(Event{Kind: JournalReclaimed, Err: cause})
	former := m.incarnation()
	m.reopenings.Add(1)
	bounds := make(map[string]Bound)
	for _, h := range m.allHoldings() {
		if b, known := h.abandon(); known {
			bounds[h.workspace] = b
		}
	}
	m.journal.reset(m.GracePeriod, former, bounds)
	return m.open(ctx)
}

// abandon forgets what the former incarnation of this process has drawn. It returns what that has used, and
// what holdings that were closed before have, as far as it is known.
func (h *holding) abandon() (used Bound, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	row, known := h.lastRow()
	used, known = Bound{Tokens: h.spent, ClosedUsage: row.ClosedUsage}, known || h.drawn > 0
	h.reset()
	h.row, h.rowToRestore, h.stored = holdingRow{}, nil, nil
	h.rowsCurrent = false
	return used, known
}

// reset makes the journal ready to be opened by another incarnation of this process than the former one, of
// which the bounds tell exactly what it has used.
func (j *journal) reset(grace time.Duration, former string, bounds map[string]Bound) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.abandoned == nil {
		j.abandoned = make(map[string]formerIncarnation)
	}
	j.abandoned[former] = formerIncarnation{usageBound: usageBound{Bounds: bounds}, Epoch: j.epoch, Since: j.startedInEra}
	j.open, j.replaced, j.writtenInEra, j.ownedInEra = false, false, false, false
	j.confirmSince = time.Time{}
	j.bounds = effectiveBounds{grace: grace}
	j.mirror = mirror{seq: j.mirror.seq, bounds: effectiveBounds{grace: mirrorGrace}}
}
