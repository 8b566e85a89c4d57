package prepaid

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"rosevalve/internal/platform/table"
)

// open takes over the journal from the VM's previous instance. No two instances of a VM run at
// the same time, so that the row bounds finally what the previous one has used when this one
// reads it.
func (p *Manager) open(ctx context.Context) error {
	for {
		err := p.tryOpen(ctx)
		p.reportJournal(err)
		if err == nil {
			p.OnEvent(Event{Kind: JournalOpened})
			return nil
		}
		if !sleep(ctx, retryDelay/2+rand.N(retryDelay)) {
			return fmt.Errorf("open journal: %w", ctx.Err())
		}
	}
}

func (p *Manager) tryOpen(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	uptime := time.Since(p.startedAt)
	if err := p.checkEra(ctx); err != nil {
		return err
	}
	last, stamp, err := p.readJournal(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	era, settled := p.eras.current()
	switch {
	case stamp.Era != era:
		return fmt.Errorf("read journal: %w", errEraPassed)
	case last.row.Life == p.Incarnation && last.era == era:
		// An earlier attempt whose answer was lost.
		p.setOpen(last, now)
		return nil
	}
	next := storedJournal{era: era, row: journalRow{
		Life: p.Incarnation, Epoch: last.row.Epoch + 1, Since: era, AtMS: stamp.Clock.Milliseconds(),
		Accounted: settled || last.row.Accounted && (last.era == era || last.row.Life == p.Incarnation),
		Bounds:    map[string]Bound{}, Former: p.collectFormer(last.row, stamp.Clock-uptime),
	}}
	if next.version, err = p.commitOpening(ctx, last, next); err != nil {
		return fmt.Errorf("open journal: %w", err)
	}
	p.setOpen(next, now)
	return nil
}

// commitOpening writes the first row of this instance, and returns its version.
func (p *Manager) commitOpening(ctx context.Context, last, next storedJournal) (uint64, error) {
	replaced := uint64(noVersion)
	if last.era == next.era {
		replaced = last.version
	}
	var c table.Commit
	c.RequireAt(p.journalPlace(next.era), replaced)
	if err := c.SetAt(p.journalPlace(next.era), next.row); err != nil {
		return noVersion, err
	}
	stamp, err := p.Commit(ctx, c)
	p.observeStamp(stamp)
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

// readJournal reads the journal's row of the latest era that has one.
func (p *Manager) readJournal(ctx context.Context) (storedJournal, table.Stamp, error) {
	var last storedJournal
	page, err := p.Read(ctx, inAllEras(p.journalPlace(0), keyJournal))
	p.observeStamp(page.Stamp)
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
			return last, page.Stamp, fmt.Errorf("decode journal of VM %q: %w", p.VM, err)
		}
	}
	return last, page.Stamp, nil
}

// collectFormer returns what is known of the former instances. The last of them wrote row and
// had ended by the given time of the store's clock.
func (p *Manager) collectFormer(row journalRow, ended time.Duration) map[string]formerInstance {
	former := make(map[string]formerInstance, len(row.Former)+1)
	maps.Copy(former, row.Former)
	if row.Life != "" && row.Life != p.Incarnation {
		sinceWrite := ended - time.Duration(row.AtMS)*time.Millisecond
		former[row.Life] = formerInstance{
			usageBound: usageBound{Bounds: row.Bounds, OverMS: max(0, (sinceWrite - p.GracePeriod).Milliseconds())},
			Epoch:      row.Epoch,
			Since:      row.Since,
			Mirror:     row.Mirror, MirrorFrom: row.MirrorFrom,
		}
	}
	return former
}

func (p *Manager) setOpen(opened storedJournal, sent time.Time) {
	p.eras.setJournalOpened(opened.row.Accounted)
	j := &p.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	j.era, j.startedInEra, j.writtenInEra = opened.era, opened.row.Since, true
	j.version = opened.version
	j.epoch = opened.row.Epoch
	j.former = maps.Clone(opened.row.Former)
	if j.former == nil {
		j.former = make(map[string]formerInstance)
	}
	j.ackWrite(&boundsWrite{bounds: map[string]Bound{}, sent: sent, era: opened.era})
	j.open = true
}
