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
	// migrateWorkers limits the workspaces whose rows are migrated concurrently.
	migrateWorkers = 8
)

// checkEra determines from the store whether tokens may be drawn in its era.
func (p *Manager) checkEra(ctx context.Context) error {
	rows, err := p.readRestored(ctx)
	if err != nil {
		return err
	}
	era, settled := p.eras.current()
	if settled {
		return nil
	}
	if len(rows) == 0 && p.isFirstStart(era) {
		row := restoredRow{Whole: true, Witness: true, Life: p.Incarnation}
		if err := p.writeRestored(ctx, era, row, rows); err != nil {
			return err
		}
		p.eras.setStoreWasEmpty()
		rows = restoredRows{era: {p.VM: row}}
	}
	p.updateEra(era, rows)
	return nil
}

// isFirstStart reports whether an empty store is that of a fleet that starts for the first
// time: it was never rolled back, or no router from before has restored its rows by now.
func (p *Manager) isFirstStart(era uint64) bool {
	return era == 0 || time.Since(p.startedAt) > emptyStoreWait
}

// updateEra determines from the rows whether the era is settled, and reports changes.
func (p *Manager) updateEra(era uint64, rows restoredRows) {
	awaited := rows.awaited(era)
	reported := len(rows[era])
	took, change := p.eras.update(era, rows.settled(era), awaited)
	switch change {
	case eraNowSettled:
		p.OnEvent(Event{Kind: EraSettled, To: table.Stamp{Era: era}, Duration: took, Routers: reported})
	case eraOverdue:
		cause := fmt.Errorf("%w: waiting for %s", errUnsettled, strings.Join(awaited, ", "))
		if len(awaited) == 0 {
			cause = fmt.Errorf("%w: no router from before the rollback has restored its rows", errUnsettled)
		}
		p.OnEvent(Event{Kind: EraUnsettled, To: table.Stamp{Era: era}, Duration: took, Routers: len(awaited), Err: cause})
	}
}

// eraChange is the outcome of a check of an era.
type eraChange int

const (
	eraUnchanged eraChange = iota
	eraNowSettled
	eraOverdue
)

// update records whether an era is settled, and which instances it waits for otherwise. It
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

// setHistoryFromPeers records that other routers know what the previous instance of this VM
// has used.
func (s *eras) setHistoryFromPeers(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era == era {
		s.historyKnown, s.historyFromPeers = true, true
	}
}

// historySource returns how this instance knows what its VM has drawn before the era: because
// it observed the start of the era, or from other routers.
func (s *eras) historySource() (startObserved, fromPeers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startObserved, s.historyFromPeers
}

// setJournalOpened records that the journal was opened, and whether it shows that this
// instance knows its VM's history.
func (s *eras) setJournalOpened(historyKnown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.historyKnown = s.historyKnown || historyKnown
	s.journalOpened = true
}

// setStoreWasEmpty records that the store was empty before this instance.
func (s *eras) setStoreWasEmpty() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeWasEmpty = true
}

// runEras settles each era that begins, until ctx ends.
func (p *Manager) runEras(ctx context.Context) {
	pause := minSettleDelay
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.eras.checkRequested:
			pause = minSettleDelay
		case <-timer.C:
		}
		era, settled := p.eras.current()
		if settled {
			continue
		}
		p.settle(ctx, era)
		pause = min(2*pause, maxSettleDelay)
		timer.Reset(pause)
	}
}

// settle does this instance's part in settling the era.
func (p *Manager) settle(ctx context.Context, era uint64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	switch {
	case p.eras.mustRestore(era):
		err = p.restore(ctx, era)
	default:
		err = errors.Join(p.announceStart(ctx, era), p.recoverUsage(ctx, era))
	}
	err = errors.Join(err, p.checkEra(ctx))
	if err != nil {
		// The next check retries it.
		p.OnEvent(Event{Kind: RestoreFailed, To: table.Stamp{Era: era}, Err: err})
	}
}

// announceStart records in the store, if this instance started in the era, that it has drawn
// nothing before.
func (p *Manager) announceStart(ctx context.Context, era uint64) error {
	rows, err := p.readRestored(ctx)
	if err != nil {
		return err
	}
	row := rows[era][p.VM]
	instances := slices.DeleteFunc(p.journal.startedIn(p.Incarnation, era), func(instance string) bool { return rows.accountsFor(era, instance) })
	if len(rows[era]) == 0 || len(instances) == 0 {
		// No router waits for this instance yet, or any more.
		return nil
	}
	row.Lives = append(row.Lives, instances...)
	return p.writeRestored(ctx, era, row, rows)
}

// restore writes the rows that this instance knows in the era, and records that for the other
// routers.
func (p *Manager) restore(ctx context.Context, era uint64) error {
	if err := p.awaitJournalWrite(ctx, era); err != nil {
		return err
	}
	pool := pond.NewPool(migrateWorkers)
	group := pool.NewGroup()
	holdings := p.holdingsToRestore()
	for _, h := range holdings {
		group.SubmitErr(func() error { return p.migrateRows(ctx, h) })
	}
	if err := group.Wait(); err != nil {
		return fmt.Errorf("migrate rows to the store's era: %w", err)
	}
	rows, err := p.readRestored(ctx)
	if err != nil {
		return err
	}
	// An earlier instance may have written its record for the same era.
	row := rows[era][p.VM]
	row.Whole, row.Life = true, p.Incarnation
	startObserved, fromPeers := p.eras.historySource()
	row.Witness = row.Witness || startObserved
	row.Vouched = row.Vouched || fromPeers
	row.Awaits = append(row.Awaits, p.instancesToAwait(era, rows)...)
	if err := p.writeRestored(ctx, era, row, rows); err != nil {
		return err
	}
	p.eras.setRestored(era)
	p.OnEvent(Event{
		Kind: EraRestored, To: table.Stamp{Era: era}, Tokens: p.eras.correction(),
		Workspaces: len(holdings), Routers: len(row.Awaits),
	})
	return nil
}

// awaitJournalWrite waits until the journal has been written in the era.
func (p *Manager) awaitJournalWrite(ctx context.Context, era uint64) error {
	for !p.journal.isWrittenIn(era) {
		p.journal.requestWrite()
		if !sleep(ctx, waitPollInterval) {
			return fmt.Errorf("write journal in era %d: %w", era, errors.Join(ctx.Err(), table.ErrUnavailable))
		}
	}
	return nil
}

// holdingsToRestore returns the holdings whose rows this instance knows better than the store.
func (p *Manager) holdingsToRestore() []*holding {
	for _, workspace := range p.journal.unclosed() {
		p.holding(workspace)
	}
	return slices.DeleteFunc(p.allHoldings(), func(h *holding) bool { return !p.knowsBetterThanStore(h) })
}

func (p *Manager) knowsBetterThanStore(h *holding) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.rowsCurrent || h.rowToRestore != nil {
		return true
	}
	_, listed := p.journal.maxUsedBefore(h.workspace, h.era)
	return listed
}

// instancesToAwait returns the instances that may have drawn before the era and have not
// restored their rows yet.
func (p *Manager) instancesToAwait(era uint64, rows restoredRows) []string {
	instances := p.eras.ranBefore()
	slices.Sort(instances)
	return slices.DeleteFunc(slices.Compact(instances), func(instance string) bool {
		return vmOf(instance) == p.VM || rows.accountsFor(era, instance)
	})
}

// ranBefore returns the instances that ran when the era began, or shortly before, and those
// that an earlier, unsettled era waited for.
func (s *eras) ranBefore() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(slices.Clone(s.awaited), s.recent...)
}

// startedIn returns the instances of this VM that started in the era: this one and its
// immediate predecessors.
func (j *journal) startedIn(own string, era uint64) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.open || j.startedInEra != era {
		return nil
	}
	instances := []string{own}
	for instance, f := range j.former {
		if f.Since == era {
			instances = append(instances, instance)
		}
	}
	return instances
}

// setRestored records that this VM has restored its rows in the era.
func (s *eras) setRestored(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restored = s.restored || s.era == era
}
