package prepaid

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"rosevalve/internal/platform/table"
)

// open takes over the journal from the VM's previous incarnation. No two incarnations of a VM run at
// the same time, so that the row bounds finally what the previous one has used when this one
// reads it.
func (m *Manager) open(ctx context.Context) error {
	for {
		err := m.tryOpen(ctx)
		m.reportJournal(err)
		if err == nil {
			m.OnEvent(Event{Kind: JournalOpened})
			return nil
		}
		if !sleep(ctx, retryDelay/2+rand.N(retryDelay)) {
			return fmt.Errorf("open journal: %w", ctx.Err())
		}
	}
}

func (m *Manager) tryOpen(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	uptime := time.Since(m.startedAt)
	if err := m.checkEra(ctx); err != nil {
		return err
	}
	last, stamp, err := m.readJournal(ctx, m.VM)
	if err != nil {
		return err
	}
	now := time.Now()
	era, settled := m.eras.current()
	switch {
	case stamp.Era != era:
		return fmt.Errorf("read journal: %w", errEraPassed)
	case last.row.Incarnation == m.incarnation() && last.era == era:
		// An earlier attempt whose answer was lost.
		m.setOpen(last, now)
		return nil
	}
	next := storedJournal{era: era, row: journalRow{
		Incarnation: m.incarnation(), Epoch: last.row.Epoch + 1, Since: era, AtMS: stamp.Clock.Milliseconds(),
		Accounted: settled || last.row.Accounted && (last.era == era || last.row.Incarnation == m.incarnation()),
		Bounds:    map[string]Bound{}, Former: m.journal.withAbandoned(m.collectFormer(last.row, stamp.Clock-uptime)),
	}}
	if next.version, err = m.commitOpening(ctx, last, next); err != nil {
		return fmt.Errorf("open journal: %w", err)
	}
	m.setOpen(next, now)
	return nil
}

// commitOpening writes the first row of this incarnation, and returns its version.
func (m *Manager) commitOpening(ctx context.Context, last, next storedJournal) (uint64, error) {
	replaced := uint64(noVersion)
	if last.era == next.era {
		replaced = last.version
	}
	var c table.Commit
	c.RequireAt(journalLocation(m.VM, next.era), replaced)
	if err := c.SetAt(journalLocation(m.VM, next.era), next.row); err != nil {
		return noVersion, err
	}
	stamp, err := m.Commit(ctx, c)
	m.observeStamp(stamp)
	if err == nil && stamp.Era != next.era {
		err = errEraPassed
	}
	return stamp.Version, err
}

// storedJournal is the journal's row in an era.
type storedJournal struct {
	era     uint64
	version uint64 // noVersion if there is no row
	row     journalRow
}

// readJournal reads the row of a VM's journal in the latest era that has one.
func (m *Manager) readJournal(ctx context.Context, vm string) (storedJournal, table.Stamp, error) {
	var last storedJournal
	page, err := m.Read(ctx, inAllEras(journalLocation(vm, 0), keyJournal))
	m.observeStamp(page.Stamp)
	if err != nil {
		return last, page.Stamp, fmt.Errorf("read journal: %w", err)
	}
	for _, r := range page.Rows {
		_, era, err := splitKey(r.Key)
		if err != nil {
			return last, page.Stamp, fmt.Errorf("read journal: %w", err)
		}
		if last.version != noVersion && last.era > era {
			continue
		}
		last = storedJournal{era: era, version: r.Version}
		if err := r.Decode(&last.row); err != nil {
			return last, page.Stamp, fmt.Errorf("decode journal of VM %q: %w", vm, err)
		}
	}
	return last, page.Stamp, nil
}

// collectFormer returns what is known of the former incarnations. The last of them wrote row and
// had ended by the given time of the store's clock.
func (m *Manager) collectFormer(row journalRow, ended time.Duration) map[string]formerIncarnation {
	former := make(map[string]formerIncarnation, len(row.Former)+1)
	maps.Copy(former, row.Former)
	if row.Incarnation != "" && row.Incarnation != m.incarnation() {
		sinceWrite := ended - time.Duration(row.AtMS)*time.Millisecond
		former[row.Incarnation] = formerIncarnation{
			usageBound: usageBound{Bounds: row.Bounds, OverMS: max(0, (sinceWrite - m.GracePeriod).Milliseconds())},
			Epoch:      row.Epoch,
			Since:      row.Since,
			Mirror:     row.Mirror, MirrorFrom: row.MirrorFrom,
		}
	}
	return former
}

func (m *Manager) setOpen(opened storedJournal, sent time.Time) {
	m.eras.setJournalOpened(opened.row.Accounted)
	j := &m.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	j.era, j.startedInEra, j.writtenInEra = opened.era, opened.row.Since, true
	j.version = opened.version
	j.epoch = opened.row.Epoch
	j.former = maps.Clone(opened.row.Former)
	if j.former == nil {
		j.former = make(map[string]formerIncarnation)
	}
	j.ackWrite(&boundsWrite{bounds: map[string]Bound{}, sent: sent, era: opened.era})
	j.open = true
}
