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
	// settlePause and maxSettlePause bound the time between looks at an era that is not settled.
	settlePause    = 100 * time.Millisecond
	maxSettlePause = 2 * time.Second
	// firstWait is how long a router that finds an empty store gives others to tell of their
	// rows.
	firstWait = 3 * time.Second
	// settleNotice is how long an era may take to settle before that is told.
	settleNotice = 3 * time.Second
	// bringWorkers bounds the workspaces whose rows are brought into an era at the same time.
	bringWorkers = 8
)

// lookAtEra learns from the store whether tokens may be drawn in its era.
func (p *Purse) lookAtEra(ctx context.Context) error {
	rows, err := p.readRestored(ctx)
	if err != nil {
		return err
	}
	era, settled := p.eras.current()
	if settled {
		return nil
	}
	if len(rows) == 0 && p.isFirst(era) {
		row := restoredRow{Whole: true, Witness: true, Life: p.Life}
		if err := p.tellRestored(ctx, era, row, rows); err != nil {
			return err
		}
		p.eras.begin()
		rows = restoredRows{era: {p.VM: row}}
	}
	p.judgeEra(era, rows)
	return nil
}

// isFirst reports whether a store that has nothing at all is that of a fleet which starts
// for the first time: if it never came back, or no router that was there before has told
// of its rows by now.
func (p *Purse) isFirst(era uint64) bool {
	return era == 0 || time.Since(p.born) > firstWait
}

// judgeEra decides by the rows whether the era is settled.
func (p *Purse) judgeEra(era uint64, rows restoredRows) {
	awaited := rows.awaited(era)
	told := len(rows[era])
	took, news := p.eras.judge(era, rows.settled(era), awaited)
	switch news {
	case nowSettled:
		p.OnEvent(Event{Kind: EraSettled, To: table.Stamp{Era: era}, Away: took, Routers: told})
	case nowLate:
		cause := fmt.Errorf("%w: waits for %s", errUnsettled, strings.Join(awaited, ", "))
		if len(awaited) == 0 {
			cause = fmt.Errorf("%w: no router that was there before has told of its rows", errUnsettled)
		}
		p.OnEvent(Event{Kind: EraUnsettled, To: table.Stamp{Era: era}, Away: took, Routers: len(awaited), Err: cause})
	}
}

// eraNews is what a look at an era has brought.
type eraNews int

const (
	noNews eraNews = iota
	nowSettled
	nowLate
)

// judge takes in whether an era is settled and for whom it waits otherwise. It returns how
// long the era has lasted, and what is to be told.
func (s *eras) judge(era uint64, settled bool, awaited []string) (time.Duration, eraNews) {
	s.mu.Lock()
	defer s.mu.Unlock()
	took := time.Since(s.since)
	switch {
	case era != s.now || s.settled:
		return took, noNews
	case settled:
		s.settled, s.accounted = true, true
		s.awaited = nil
		return took, nowSettled
	}
	s.awaited = awaited
	if s.warned || took < settleNotice {
		return took, noNews
	}
	s.warned = true
	return took, nowLate
}

// vouch takes in that others have told what the last life of this VM has used.
func (s *eras) vouch(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now == era {
		s.accounted, s.vouched = true, true
	}
}

// knowledge tells how this life knows what its VM has drawn before the era: as a witness of
// its begin, or from others.
func (s *eras) knowledge() (witness, vouched bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.witness, s.vouched
}

// open takes in what the journal says of this life's knowledge.
func (s *eras) open(accounted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accounted = s.accounted || accounted
	s.opened = true
}

// begin notes that there was nothing in the store before this life.
func (s *eras) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = true
}

// keepEra settles each era that begins, until ctx ends.
func (p *Purse) keepEra(ctx context.Context) {
	pause := settlePause
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.eras.kicked:
			pause = settlePause
		case <-timer.C:
		}
		era, settled := p.eras.current()
		if settled {
			continue
		}
		p.settle(ctx, era)
		pause = min(2*pause, maxSettlePause)
		timer.Reset(pause)
	}
}

// settle does what this life can so that the era is settled.
func (p *Purse) settle(ctx context.Context, era uint64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	switch {
	case p.eras.mustRestore(era):
		err = p.restore(ctx, era)
	default:
		err = errors.Join(p.tellBegan(ctx, era), p.vouch(ctx, era))
	}
	err = errors.Join(err, p.lookAtEra(ctx))
	if err != nil {
		// It is tried again.
		p.OnEvent(Event{Kind: RestoreFailed, To: table.Stamp{Era: era}, Err: err})
	}
}

// tellBegan tells that this life, if it began in the era, has drawn nothing before.
func (p *Purse) tellBegan(ctx context.Context, era uint64) error {
	rows, err := p.readRestored(ctx)
	if err != nil {
		return err
	}
	row := rows[era][p.VM]
	lives := slices.DeleteFunc(p.journal.begunIn(p.Life, era), func(life string) bool { return rows.accounts(era, life) })
	if len(rows[era]) == 0 || len(lives) == 0 {
		// Nobody waits for this life yet, or any more.
		return nil
	}
	row.Lives = append(row.Lives, lives...)
	return p.tellRestored(ctx, era, row, rows)
}

// restore brings all that this life knows into the era, and tells the others.
func (p *Purse) restore(ctx context.Context, era uint64) error {
	if err := p.standJournal(ctx, era); err != nil {
		return err
	}
	pool := pond.NewPool(bringWorkers)
	group := pool.NewGroup()
	remembered := p.remembered()
	for _, h := range remembered {
		group.SubmitErr(func() error { return p.bring(ctx, h) })
	}
	if err := group.Wait(); err != nil {
		return fmt.Errorf("bring rows into the store's era: %w", err)
	}
	rows, err := p.readRestored(ctx)
	if err != nil {
		return err
	}
	// An earlier life may have told of the same era.
	row := rows[era][p.VM]
	row.Whole, row.Life = true, p.Life
	witness, vouched := p.eras.knowledge()
	row.Witness = row.Witness || witness
	row.Vouched = row.Vouched || vouched
	row.Awaits = append(row.Awaits, p.awaits(era, rows)...)
	if err := p.tellRestored(ctx, era, row, rows); err != nil {
		return err
	}
	p.eras.tell(era)
	p.OnEvent(Event{
		Kind: EraRestored, To: table.Stamp{Era: era}, Tokens: p.eras.correction(),
		Workspaces: len(remembered), Routers: len(row.Awaits),
	})
	return nil
}

// standJournal returns once the journal was written in the era.
func (p *Purse) standJournal(ctx context.Context, era uint64) error {
	for !p.journal.standsIn(era) {
		p.journal.kick()
		if !sleep(ctx, tick) {
			return fmt.Errorf("write journal in era %d: %w", era, errors.Join(ctx.Err(), table.ErrUnavailable))
		}
	}
	return nil
}

// remembered returns the holdings whose rows this life knows better than the store.
func (p *Purse) remembered() []*holding {
	for _, workspace := range p.journal.unclosed() {
		p.holding(workspace)
	}
	return slices.DeleteFunc(p.all(), func(h *holding) bool { return !p.remembers(h) })
}

func (p *Purse) remembers(h *holding) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.known || h.truth != nil {
		return true
	}
	_, named := p.journal.closedBefore(h.workspace, h.era)
	return named
}

// awaits returns the lives that may have drawn before the era and are not accounted for yet.
func (p *Purse) awaits(era uint64, rows restoredRows) []string {
	lives := p.eras.ranBefore()
	slices.Sort(lives)
	return slices.DeleteFunc(slices.Compact(lives), func(life string) bool {
		return vmOf(life) == p.VM || rows.accounts(era, life)
	})
}

// ranBefore returns the lives that ran when the era began, or a moment before, and those
// that were waited for in one that was not settled.
func (s *eras) ranBefore() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(slices.Clone(s.awaited), s.recent...)
}

// begunIn returns the lives that began in the era: this one and those just before it.
func (j *journal) begunIn(own string, era uint64) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.open || j.since != era {
		return nil
	}
	lives := []string{own}
	for life, f := range j.former {
		if f.Since == era {
			lives = append(lives, life)
		}
	}
	return lives
}

// tell notes that this VM has told of its rows in the era.
func (s *eras) tell(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restored = s.restored || s.now == era
}
