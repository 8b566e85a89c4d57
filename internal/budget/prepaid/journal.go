package prepaid

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
)

const (
	// retryPause is the pause after a write that failed.
	retryPause = 100 * time.Millisecond
	// copyAge is the oldest copy of itself from which the store may come back, with the time
	// that it is away.
	copyAge = 30 * time.Second
)

// journal is this life's row of bounds.
type journal struct {
	kicked       chan struct{}
	mirrorKicked chan struct{}

	mu       sync.Mutex // guards the fields below; taken after a holding's lock
	cover    cover
	era      uint64 // of the store, in which the next write is to stand
	since    uint64 // era in which this life began
	standing bool   // a write took effect in era
	version  uint64 // of the row in era
	seq      int64
	epoch    int64
	open     bool
	replaced bool
	former   map[string]formerLife
	// clock is the store's clock as last told, at the time heard.
	clock time.Duration
	heard time.Time
	// missed tells that the last call of the store has failed.
	missed bool
	// failedAt is when writes of the row began to fail; zero if the last one went well.
	failedAt time.Time
	// acked is closed when a write takes effect; nil if nobody waits.
	acked chan struct{}

	mirror     mirror
	mirrorLost bool // as last told
	// consulted is closed when the mirror of the VM's last life was asked.
	consulted chan struct{}
}

// allows returns how many tokens of a holding may be used now.
func (j *journal) allows(workspace string, drawn int64, now time.Time) int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.open || j.replaced {
		return 0
	}
	return min(j.cover.allows(workspace, drawn, now), j.mirror.allows(workspace, drawn, now))
}

// covered returns what the last write that took effect allows without waiting.
func (j *journal) covered(workspace string) int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.cover.acked == nil {
		return 0
	}
	return j.cover.acked.bounds[workspace].Tokens
}

// mirrored returns what the mirror's copy allows without waiting.
func (j *journal) mirrored(workspace string) int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.mirror.covered(workspace)
}

// kick asks for a write of the journal.
func (j *journal) kick() {
	select {
	case j.kicked <- struct{}{}:
	default:
	}
}

// hear takes in the store's clock, or that the store did not answer.
func (j *journal) hear(s table.Stamp, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if s.Clock == 0 {
		j.missed = true
		return
	}
	j.clock, j.heard = s.Clock, now
	j.missed = false
}

// until returns how long it takes until so many tokens of a holding may be used, if
// nothing is written; it is negative if that never comes.
func (j *journal) until(workspace string, tokens int64, now time.Time) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.open || j.replaced {
		return -1
	}
	return j.cover.until(workspace, tokens, now)
}

// away reports whether the last call of the store has failed. Requests do not wait for
// it then; the journal is written on, which tells when it is back.
func (j *journal) away() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.missed
}

// storeTime estimates the store's clock; it is never ahead of it. The caller holds mu.
func (j *journal) storeTime(now time.Time) time.Duration { return j.clock + now.Sub(j.heard) }

// keepJournal writes the journal when a reservation needs it and when it grows old.
func (p *Purse) keepJournal(ctx context.Context) error {
	var wrote time.Time
	timer := time.NewTimer(refreshAfter)
	defer timer.Stop()
	for {
		due := false
		select {
		case <-ctx.Done():
			return nil
		case <-p.journal.kicked:
			due = true
		case <-timer.C:
		}
		waiting, holding := p.grantAll()
		if due || holding && time.Since(wrote) >= refreshAfter {
			wrote = time.Now()
			err := p.writeJournal(ctx)
			if errors.Is(err, errReplaced) {
				p.OnEvent(Event{Kind: JournalReplaced, Err: err})
				return nil
			}
			p.noteJournal(err)
			if err != nil && !sleep(ctx, retryPause) {
				return nil
			}
			if err != nil {
				p.journal.kick()
			}
			waiting, _ = p.grantAll()
		}
		pause := refreshAfter
		if waiting {
			// What is covered grows while the store is away.
			pause = tick
		}
		timer.Reset(pause)
	}
}

// grantAll lets those reservations go on that are covered now. It reports whether
// some still wait, and whether any tokens are held.
func (p *Purse) grantAll() (waiting, holding bool) {
	now := time.Now()
	for _, h := range p.all() {
		h.mu.Lock()
		if len(h.waiting) > 0 {
			h.grant(p.journal.allows(h.workspace, h.drawn, now))
		}
		waiting = waiting || len(h.waiting) > 0
		holding = holding || h.drawn > 0
		h.mu.Unlock()
	}
	return waiting, holding
}

// headroom is what is covered ahead, which must do until the grace is over, but only a
// share of what is left, since it is lost with the life. The caller holds mu.
func (p *Purse) headroom(h *holding, now time.Time) int64 {
	ahead := int64(headroomFactor * h.asked.Rate(now) * p.Grace.Seconds())
	return min(ahead, h.free()/headroomShare)
}

// boundOf returns what the next write allows of a holding. The caller holds its lock.
func (p *Purse) boundOf(h *holding, now time.Time) Bound {
	if p.sealed.Load() {
		return Bound{Tokens: min(h.drawn, h.wanted()), Past: h.row.Past}
	}
	tokens := min(h.drawn, h.wanted()+p.headroom(h, now))
	rate := max(rateFactor*h.asked.Rate(now), float64(h.drawn-tokens)/spread.Seconds())
	return Bound{Tokens: tokens, Rate: int64(rate), Past: h.row.Past}
}

// toBeNamed reports whether the journal names the workspace: if tokens are held or about to
// be, and for as long after that as a copy of the store may still show them as held. The
// caller holds h.mu.
func (h *holding) toBeNamed(now time.Time) bool {
	return h.drawn > 0 || h.named > 0 || !h.closedAt.IsZero() && now.Sub(h.closedAt) < copyAge
}

// writeJournal writes the bounds once.
func (p *Purse) writeJournal(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	now := time.Now()
	begin := func(bounds map[string]Bound) *entry { return p.journal.begin(bounds, now) }
	e := p.beginBounds(begin, p.boundOf, now)
	mirror, from := p.chooseMirror()
	c, err := p.journal.commit(p, e, mirror, from)
	if err != nil {
		return err
	}
	stamp, err := p.Commit(ctx, c)
	p.hear(stamp)
	if stamp.Era != e.era && (err == nil || stamp.Clock != 0) {
		// Neither a write nor a conflict of another era says anything about this one.
		return fmt.Errorf("write journal: %w", errEraPassed)
	}
	return p.settleWrite(e, stamp, err, mirror, from)
}

// beginBounds decides the bounds of the next write or note. What is taken before the write
// counts as unsure is found by the second look; what is taken after it stays within.
func (p *Purse) beginBounds(begin func(bounds map[string]Bound) *entry, boundOf func(h *holding, now time.Time) Bound, now time.Time) *entry {
	holdings := p.all()
	bounds := make(map[string]Bound, len(holdings))
	for _, h := range holdings {
		h.mu.Lock()
		if h.toBeNamed(now) {
			bounds[h.workspace] = boundOf(h, now)
		}
		h.mu.Unlock()
	}
	e := begin(bounds)
	if e == nil {
		return nil
	}
	for _, h := range holdings {
		h.mu.Lock()
		p.journal.raise(e, h.workspace, min(h.drawn, h.wanted()))
		h.mu.Unlock()
	}
	return e
}

func (j *journal) begin(bounds map[string]Bound, now time.Time) *entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.seq++
	return j.cover.begin(j.seq, bounds, now)
}

// raise makes a write allow at least the tokens.
func (j *journal) raise(e *entry, workspace string, tokens int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if b := e.bounds[workspace]; tokens > b.Tokens {
		b.Tokens = tokens
		e.bounds[workspace] = b
	}
}

// commit makes the commit of a write.
func (j *journal) commit(p *Purse, e *entry, mirror string, from int64) (table.Commit, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e.era = j.era
	row := journalRow{
		Life: p.Life, Epoch: j.epoch, Seq: e.seq, Since: j.since, Accounted: p.eras.isAccounted(),
		AtMS: j.storeTime(e.sent).Milliseconds(), Bounds: e.bounds, Former: j.former, Mirror: mirror, MirrorFrom: from,
	}
	var c table.Commit
	c.RequireAt(p.journalPlace(j.era), j.version)
	if err := c.SetAt(p.journalPlace(j.era), row); err != nil {
		return c, fmt.Errorf("write journal: %w", err)
	}
	return c, nil
}

// settleWrite takes in how a write ended; one whose end is not known stays unsure.
func (p *Purse) settleWrite(e *entry, stamp table.Stamp, err error, mirror string, from int64) error {
	j := &p.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	var conflict *table.ConflictError
	switch {
	case j.era != e.era:
		return fmt.Errorf("write journal: %w", errEraPassed)
	case err == nil:
		j.version, j.standing = stamp.Version, true
		j.ack(e)
		j.nameMirror(mirror, from)
		return nil
	case errors.As(err, &conflict) && len(conflict.Rows) == 1:
		return j.resolve(p.Life, conflict.Rows[0])
	case errors.Is(err, table.ErrUnavailable):
		j.cover.drop(e)
		return fmt.Errorf("write journal: %w", err)
	default:
		return fmt.Errorf("write journal: %w", err)
	}
}

// resolve finds out which of the unsure writes took effect. The caller holds mu.
func (j *journal) resolve(life string, found table.Row) error {
	var row journalRow
	if err := json.Unmarshal(found.Value, &row); err != nil {
		return fmt.Errorf("decode journal: %w", err)
	}
	e, known := j.cover.find(row.Seq)
	if row.Life != life || !known {
		j.replaced = true
		return fmt.Errorf("%w: life %q, write %d", errReplaced, row.Life, row.Seq)
	}
	j.version, j.standing = found.Version, true
	j.ack(e)
	j.nameMirror(row.Mirror, row.MirrorFrom)
	j.kick()
	return nil
}

// sleep waits and reports false if ctx has ended.
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
