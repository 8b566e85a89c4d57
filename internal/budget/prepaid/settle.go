package prepaid

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
)

const (
	// minSettleDelay and maxSettleDelay limit the backoff between checks of an era that is not
	// settled.
	minSettleDelay = 100 * time.Millisecond
	maxSettleDelay = 2 * time.Second
	// emptyStoreWait is how long a router that finds an empty store waits for other routers to
	// restore their rows.
	emptyStoreWait = 3 * time.Second
	// unsettledWarnAfter is the time after which an unsettled era is reported.
	unsettledWarnAfter = 3 * time.Second
	// unsettledDrawAfter is how long an era must be unsettled before tokens are drawn that certainly
	// are free in it, and historyWait the same for an incarnation that does not know what its VM has drawn
	// before, which other routers may tell it.
	unsettledDrawAfter = 3 * time.Second
	historyWait        = 6 * time.Second
	// migrateWorkers limits the workspaces whose rows are migrated concurrently.
	migrateWorkers = 8
)

// checkEra determines from the store whether tokens may be drawn in its era.
func (m *Manager) checkEra(ctx context.Context) error {
	rows, err := m.readRestored(ctx)
	if err != nil {
		return err
	}
	era, settled := m.eras.current()
	if settled {
		return nil
	}
	if len(rows) == 0 && m.isFirstStart(era) {
		row := restoredRow{Complete: true, StartObserved: true, Incarnation: m.incarnation()}
		if err := m.writeRestored(ctx, m.VM, era, row, rows); err != nil {
			return err
		}
		m.eras.setStoreWasEmpty()
		m.coverage.extend(time.Now().Add(-maxCopyAge))
		rows = restoredRows{era: {m.VM: row}}
	}
	m.updateEra(era, rows)
	return nil
}

// isFirstStart reports whether an empty store is that of a fleet that starts for the first
// time: it was never rolled back, or no router from before has restored its rows by now.
func (m *Manager) isFirstStart(era uint64) bool {
	return era == 0 || time.Since(m.startedAt) > emptyStoreWait
}

// updateEra determines from the rows whether the era is settled, and reports changes.
func (m *Manager) updateEra(era uint64, rows restoredRows) {
	awaited := rows.awaited(era)
	reported := len(rows[era])
	took, change := m.eras.update(era, rows.settled(era), awaited)
	switch change {
	case eraNowSettled:
		m.OnEvent(Event{Kind: EraSettled, To: table.Stamp{Era: era}, Duration: took, Routers: reported})
	case eraOverdue:
		cause := fmt.Errorf("%w: waiting for %s", errUnsettled, strings.Join(awaited, ", "))
		if len(awaited) == 0 {
			cause = fmt.Errorf("%w: no router from before the rollback has restored its rows", errUnsettled)
		}
		m.OnEvent(Event{Kind: EraUnsettled, To: table.Stamp{Era: era}, Duration: took, Routers: len(awaited), Err: cause})
	}
}

// eraChange is the outcome of a check of an era.
type eraChange int

const (
	eraUnchanged eraChange = iota
	eraNowSettled
	eraOverdue
)

// update records whether an era is settled, and which incarnations it waits for otherwise. It
// returns how long the era has lasted, and the change to report.
func (s *eras) update(era uint64, settled bool, awaited []string) (time.Duration, eraChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	took := time.Since(s.startedAt)
	switch {
	case era != s.era || s.settled:
		return took, eraUnchanged
	case settled:
		s.settled, s.historyKnown = true, true
		s.awaited = nil
		return took, eraNowSettled
	}
	s.awaited = awaited
	if s.unsettledReported || took < unsettledWarnAfter {
		return took, eraUnchanged
	}
	s.unsettledReported = true
	return took, eraOverdue
}

// setHistoryFromPeers records that other routers know what the previous incarnation of this VM
// has used.
func (s *eras) setHistoryFromPeers(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era == era {
		s.historyKnown, s.historyFromPeers = true, true
	}
}

// historySource returns how this incarnation knows what its VM has drawn before the era: because
// it observed the start of the era, or from other routers.
func (s *eras) historySource() (startObserved, fromPeers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startObserved, s.historyFromPeers
}

// setJournalOpened records that the journal was opened, and whether it shows that this
// incarnation knows its VM's history.
func (s *eras) setJournalOpened(historyKnown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.historyKnown = s.historyKnown || historyKnown
	s.journalOpened = true
}

// setStoreWasEmpty records that the store was empty before this incarnation.
func (s *eras) setStoreWasEmpty() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeWasEmpty = true
}

// runEras settles each era that begins, until ctx ends.
func (m *Manager) runEras(ctx context.Context) {
	pause := minSettleDelay
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.eras.checkRequested:
			pause = minSettleDelay
		case <-timer.C:
		}
		era, settled := m.eras.current()
		if settled {
			continue
		}
		m.settle(ctx, era)
		pause = min(2*pause, maxSettleDelay)
		timer.Reset(pause)
	}
}

// settle does this incarnation's part in settling the era.
func (m *Manager) settle(ctx context.Context, era uint64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	switch {
	case m.eras.mustRestore(era):
		err = m.restore(ctx, era)
	default:
		err = errors.Join(m.announceStart(ctx, era), m.recoverUsage(ctx, era))
	}
	err = errors.Join(err, m.restoreEnded(ctx, era), m.checkEra(ctx))
	if err != nil {
		// The next check retries it.
		m.OnEvent(Event{Kind: RestoreFailed, To: table.Stamp{Era: era}, Err: err})
	}
}

// announceStart records in the store, if this incarnation started in the era, that it has drawn
// nothing before.
func (m *Manager) announceStart(ctx context.Context, era uint64) error {
	rows, err := m.readRestored(ctx)
	if err != nil {
		return err
	}
	row := rows[era][m.VM]
	incarnations := slices.DeleteFunc(m.journal.startedIn(m.incarnation(), era), func(incarnation string) bool { return rows.accountsFor(era, incarnation) })
	if len(rows[era]) == 0 || len(incarnations) == 0 {
		// No router waits for this incarnation yet, or any more.
		return nil
	}
	row.Incarnations = append(row.Incarnations, incarnations...)
	return m.writeRestored(ctx, m.VM, era, row, rows)
}

// restore writes the rows that this incarnation knows in the era, and records that for the other
// routers.
func (m *Manager) restore(ctx context.Context, era uint64) error {
	if err := m.awaitJournalWrite(ctx, era); err != nil {
		return err
	}
	pool := pond.NewPool(migrateWorkers)
	group := pool.NewGroup()
	holdings := m.holdingsToRestore()
	for _, h := range holdings {
		group.SubmitErr(func() error {
			if err := m.migrateRows(ctx, h); err != nil {
				return err
			}
			return m.correctAssumed(ctx, h)
		})
	}
	if err := group.Wait(); err != nil {
		return fmt.Errorf("migrate rows to the store's era: %w", err)
	}
	rows, err := m.readRestored(ctx)
	if err != nil {
		return err
	}
	// An earlier incarnation may have written its record for the same era.
	row := rows[era][m.VM]
	row.Complete, row.Incarnation = true, m.incarnation()
	startObserved, fromPeers := m.eras.historySource()
	row.StartObserved = row.StartObserved || startObserved
	row.HistoryFromPeers = row.HistoryFromPeers || fromPeers
	row.Awaits = append(row.Awaits, m.incarnationsToAwait(era, rows)...)
	if err := m.writeRestored(ctx, m.VM, era, row, rows); err != nil {
		return err
	}
	m.eras.setRestored(era)
	m.OnEvent(Event{
		Kind: EraRestored, To: table.Stamp{Era: era}, Tokens: m.eras.correction(),
		Workspaces: len(holdings), Routers: len(row.Awaits),
	})
	return nil
}

// awaitJournalWrite waits until the journal has been written in the era.
func (m *Manager) awaitJournalWrite(ctx context.Context, era uint64) error {
	for !m.journal.isWrittenIn(era) {
		m.journal.requestWrite()
		if !sleep(ctx, waitPollInterval) {
			return fmt.Errorf("write journal in era %d: %w", era, errors.Join(ctx.Err(), table.ErrUnavailable))
		}
	}
	return nil
}

// holdingsToRestore returns the holdings whose rows this incarnation knows better than the store.
func (m *Manager) holdingsToRestore() []*holding {
	for _, workspace := range m.journal.unclosed() {
		m.holding(workspace)
	}
	return slices.DeleteFunc(m.allHoldings(), func(h *holding) bool { return !m.knowsBetterThanStore(h) })
}

func (m *Manager) knowsBetterThanStore(h *holding) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.rowsCurrent || h.rowToRestore != nil {
		return true
	}
	_, listed := m.journal.maxUsedBefore(h.workspace, h.era)
	return listed
}

// incarnationsToAwait returns the incarnations that may have drawn before the era and have not
// restored their rows yet.
func (m *Manager) incarnationsToAwait(era uint64, rows restoredRows) []string {
	incarnations := m.eras.ranBefore()
	slices.Sort(incarnations)
	return slices.DeleteFunc(slices.Compact(incarnations), func(incarnation string) bool {
		return VMOf(incarnation) == m.VM || rows.accountsFor(era, incarnation)
	})
}

// ranBefore returns the incarnations that ran when the era began, or shortly before, and those
// that an earlier, unsettled era waited for.
func (s *eras) ranBefore() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(slices.Clone(s.awaited), s.recent...)
}

// startedIn returns the incarnations of this VM that started in the era: this one and its
// immediate predecessors.
func (j *journal) startedIn(own string, era uint64) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.open || j.startedInEra != era {
		return nil
	}
	incarnations := []string{own}
	for incarnation, f := range j.former {
		if f.Since == era {
			incarnations = append(incarnations, incarnation)
		}
	}
	return incarnations
}

// setRestored records that this VM has restored its rows in the era.
func (s *eras) setRestored(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restored = s.restored || s.era == era
}
