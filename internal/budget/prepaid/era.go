package prepaid

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
)

// The store may come back from an older copy of itself, which begins a new era. What
// was committed since the copy was made is gone, so that tokens look free which a life
// has drawn. Each life that lives through it knows better than the copy what its VM has
// drawn, and brings its rows into the era. Nobody draws in an era before all have done so
// that may have drawn in the last one.

// errUnsettled reports that not all rows of the last era were brought into this one.
var errUnsettled = errors.New("store came back from an older copy, and not all routers have brought their rows into its new era")

// errEraPassed reports that a call belongs to an era that has ended.
var errEraPassed = errors.New("store has begun a new era")

// eras is what this life knows of the store's eras.
type eras struct {
	mu      sync.Mutex // guards the fields below; no other lock of the purse is taken under it
	known   bool       // an answer of the store has told the era
	now     uint64
	version uint64 // the store's newest version in this era, as last told
	since   time.Time
	// accounted tells that this life knows all that its VM has drawn before this era, or
	// that others need not wait for it.
	accounted bool
	vouched   bool // it knows from others
	witness   bool // it heard the era begin, and knew all before
	// opened tells that this life has taken the journal of its VM over, and first that there
	// was nothing in the store before it. Without either it does not know what came before.
	opened, first bool
	corrected     int64 // tokens by which this VM's rows differed from what the store showed
	restored      bool  // this VM has told in the store that its rows stand in this era
	settled       bool  // all have that are waited for
	// awaited are the lives that were waited for when the last look at the store was taken,
	// and recent those that ran when this life heard of the era, or a moment before.
	awaited, recent []string
	warned          bool // of an era that is not settled
	kicked          chan struct{}
}

// current returns the era, and whether tokens may be drawn in it.
func (s *eras) current() (era uint64, settled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now, s.settled
}

// isAccounted reports whether this life knows all that its VM has drawn.
func (s *eras) isAccounted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accounted
}

// mustRestore reports whether others wait for this life in the era.
func (s *eras) mustRestore(era uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now == era && s.accounted && !s.restored && !s.settled
}

// enter takes in what an answer tells of the era. It returns what was known before, and
// whether the era has changed.
func (s *eras) enter(stamp table.Stamp, recent func() []string) (from table.Stamp, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from = table.Stamp{Era: s.now, Version: s.version}
	refused := stamp.Clock == 0
	switch {
	case !s.known && refused:
		return from, false
	case !s.known:
		s.known, s.now, s.since = true, stamp.Era, time.Now()
		changed = stamp.Era > 0
	case stamp.Era > s.now:
		s.now, s.since = stamp.Era, time.Now()
		s.version, s.corrected = 0, 0
		if s.settled {
			// All that ran before the last era were accounted for.
			s.recent = nil
		}
		s.restored, s.settled, s.warned, s.vouched = false, false, false, false
		s.accounted = s.accounted && (s.opened || s.first)
		s.witness = s.accounted
		s.recent = append(s.recent, recent()...)
		changed = true
	}
	if stamp.Era == s.now {
		s.version = max(s.version, stamp.Version)
	}
	return from, changed
}

// correct notes that the VM's part of a total differed from what the store showed.
func (s *eras) correct(era uint64, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now == era {
		s.corrected += tokens
	}
}

// correction returns by how much the VM's rows differed from what the store showed.
func (s *eras) correction() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.corrected
}

// kick asks for a look at whether the era is settled.
func (s *eras) kick() {
	select {
	case s.kicked <- struct{}{}:
	default:
	}
}

// hear takes in what an answer of the store tells besides its rows; an empty stamp stands
// for no answer.
func (p *Purse) hear(stamp table.Stamp) {
	p.journal.hear(stamp, time.Now())
	from, changed := p.eras.enter(stamp, p.Recent)
	if !changed {
		return
	}
	for _, h := range p.all() {
		h.enter(stamp.Era, p.Life)
	}
	p.journal.enter(stamp.Era)
	if !p.journal.isOpen() {
		return
	}
	p.OnEvent(Event{Kind: EraBegan, From: from, To: stamp})
	p.journal.kick()
	p.eras.kick()
}

// HearEra takes in that the store has answered in an era, to whichever call of this router.
func (p *Purse) HearEra(stamp table.Stamp) {
	p.init()
	era, _ := p.eras.current()
	if p.journal.isOpen() && stamp.Era > era {
		p.hear(stamp)
	}
}

// enter prepares the holding for an era: what it knows of its rows goes before what the
// store shows.
func (h *holding) enter(era uint64, life string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.era >= era {
		return
	}
	if h.known {
		if h.row.Life == life {
			// What may have been returned may be another's.
			h.drawn -= h.returning
			h.row.Tokens = h.drawn
		}
		truth := h.row
		h.truth = &truth
	}
	h.returning = 0
	h.era = era
	h.known, h.found = false, nil
	h.verdict = verdict{}
}

// enter makes the journal's next write the first in an era.
func (j *journal) enter(era uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if era > j.era {
		j.era, j.version = era, noVersion
		j.standing = false
	}
}

// standsIn reports whether a write of the journal took effect in the era.
func (j *journal) standsIn(era uint64) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.era == era && j.standing
}

// EraState describes the store's era for a dump.
type EraState struct {
	Era     uint64 `json:"era"`
	Settled bool   `json:"settled"`
	// Awaited are the lives of which it is not known what they have drawn.
	Awaited []string `json:"awaited,omitempty"`
}

// EraState dumps what is known of the store's era.
func (p *Purse) EraState() EraState {
	s := &p.eras
	s.mu.Lock()
	defer s.mu.Unlock()
	return EraState{Era: s.now, Settled: s.settled, Awaited: s.awaited}
}
