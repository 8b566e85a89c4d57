package prepaid

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"rosevalve/internal/platform/table"
)

// open takes the journal over from the VM's last life. No two lives of a VM run at the
// same time, so what the last one may have used is settled when this one reads the row.
func (p *Purse) open(ctx context.Context) error {
	for {
		err := p.tryOpen(ctx)
		p.noteJournal(err)
		if err == nil {
			p.OnEvent(Event{Kind: JournalOpened})
			return nil
		}
		if !sleep(ctx, retryPause/2+rand.N(retryPause)) {
			return fmt.Errorf("open journal: %w", ctx.Err())
		}
	}
}

func (p *Purse) tryOpen(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	uptime := time.Since(p.born)
	if err := p.lookAtEra(ctx); err != nil {
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
	case last.row.Life == p.Life && last.era == era:
		// An earlier try whose answer was lost.
		p.opened(last, now)
		return nil
	}
	next := journalBook{era: era, row: journalRow{
		Life: p.Life, Epoch: last.row.Epoch + 1, Since: era, AtMS: stamp.Clock.Milliseconds(),
		Accounted: settled || last.row.Accounted && (last.era == era || last.row.Life == p.Life),
		Bounds:    map[string]Bound{}, Former: p.formerLives(last.row, stamp.Clock-uptime),
	}}
	if next.version, err = p.commitOpening(ctx, last, next); err != nil {
		return fmt.Errorf("open journal: %w", err)
	}
	p.opened(next, now)
	return nil
}

// commitOpening writes the first row of this life, and returns its version.
func (p *Purse) commitOpening(ctx context.Context, last, next journalBook) (uint64, error) {
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
	p.hear(stamp)
	if err == nil && stamp.Era != next.era {
		err = errEraPassed
	}
	return stamp.Version, err
}

// journalBook is the journal's row in an era.
type journalBook struct {
	era     uint64
	version uint64 // noVersion if there is none
	row     journalRow
}

// readJournal reads the journal's row of the latest era that has one.
func (p *Purse) readJournal(ctx context.Context) (journalBook, table.Stamp, error) {
	var last journalBook
	page, err := p.Read(ctx, inAllEras(p.journalPlace(0), keyBook))
	p.hear(page.Stamp)
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
		last = journalBook{era: era, version: r.Version}
		if err := r.Decode(&last.row); err != nil {
			return last, page.Stamp, fmt.Errorf("journal of VM %q: %w", p.VM, err)
		}
	}
	return last, page.Stamp, nil
}

// formerLives returns what is known of the ended lives, the last of which wrote row and
// had ended at a time of the store's clock.
func (p *Purse) formerLives(row journalRow, ended time.Duration) map[string]formerLife {
	former := make(map[string]formerLife, len(row.Former)+1)
	maps.Copy(former, row.Former)
	if row.Life != "" && row.Life != p.Life {
		unseen := ended - time.Duration(row.AtMS)*time.Millisecond
		former[row.Life] = formerLife{
			claim:  claim{Bounds: row.Bounds, OverMS: max(0, (unseen - p.Grace).Milliseconds())},
			Epoch:  row.Epoch,
			Since:  row.Since,
			Mirror: row.Mirror, MirrorFrom: row.MirrorFrom,
		}
	}
	return former
}

func (p *Purse) opened(book journalBook, sent time.Time) {
	p.eras.open(book.row.Accounted)
	j := &p.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	j.era, j.since, j.standing = book.era, book.row.Since, true
	j.version = book.version
	j.epoch = book.row.Epoch
	j.former = maps.Clone(book.row.Former)
	if j.former == nil {
		j.former = make(map[string]formerLife)
	}
	j.ack(&entry{bounds: map[string]Bound{}, sent: sent, era: book.era})
	j.open = true
}
