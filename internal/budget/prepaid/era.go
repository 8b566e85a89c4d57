package prepaid

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
)

// The store may be rolled back to an older copy of itself, which begins a new era. Whatever
// was committed after the copy was made is lost, so that tokens look free that an incarnation
// has drawn. Each incarnation that was running at the time knows better than the copy what its VM has
// drawn, and restores its rows in the new era. Once every incarnation that may have drawn in the
// previous era has done so, the era is settled. Before that only tokens are drawn that are beyond
// what the copy allowed to draw (see reach.go).

// errUnsettled reports that not all rows of the previous era have been restored in the current
// one.
var errUnsettled = errors.New("store was rolled back to an older copy, and not all routers have restored their rows")

// errEraPassed reports that a call belongs to an era that has ended.
var errEraPassed = errors.New("store has begun a new era")

// eras is what this incarnation knows about the store's current era.
type eras struct {
	// starting is held while an era begins, from the first field to the last holding; acquired before all
	// other locks.
	starting sync.Mutex

	mu            sync.Mutex // guards the fields below; no other lock of the Manager is acquired under it
	eraKnown      bool       // an answer of the store has contained the era
	era           uint64
	newestVersion uint64 // newest version of the store seen in this era
	startedAt     time.Time
	// historyKnown is set if this incarnation knows everything that its VM has drawn before this
	// era, or if other routers need not wait for it.
	historyKnown     bool
	historyFromPeers bool // historyKnown is based on the notes of other routers
	startObserved    bool // this incarnation observed the start of the era with historyKnown set, and knew which others had run
	// journalOpened is set once this incarnation has taken over its VM's journal, and
	// storeWasEmpty if the store was empty before this incarnation. Without either, it does not
	// know what came before.
	journalOpened, storeWasEmpty bool
	corrected                    int64 // tokens by which this VM's rows differed from those in the store
	restored                     bool  // this VM has recorded in the store that its rows are restored in this era
	settled                      bool  // all incarnations that must restore their rows have done so
	// awaited are the incarnations whose rows were missing at the last check of the store, and
	// recent those that ran when this incarnation observed the era, or shortly before.
	awaited, recent   []string
	unsettledReported bool // EraUnsettled was reported for this era
	checkRequested    chan struct{}
}

// current returns the era, and whether tokens may be drawn in it.
func (s *eras) current() (era uint64, settled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era, s.settled
}

// isSettled reports whether the era is the current one and everything drawn before is accounted for.
func (s *eras) isSettled(era uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era == era && s.settled
}

// mayDraw reports whether tokens may be drawn: all that are left, or while the era is not settled,
// those that nobody can have drawn before.
func (s *eras) mayDraw() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := unsettledDrawAfter
	if !s.historyKnown {
		wait = historyWait
	}
	return s.settled || s.eraKnown && time.Since(s.startedAt) >= wait
}

// isHistoryKnown reports whether this incarnation knows everything that its VM has drawn.
func (s *eras) isHistoryKnown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.historyKnown
}

// mustRestore reports whether other routers wait for this incarnation to restore its rows in the
// era.
func (s *eras) mustRestore(era uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era == era && s.historyKnown && !s.restored && !s.settled
}

// observe updates the era from the stamp of a store call. covered reports whether recent returns all incarnations that
// have run within the maximum age of a copy. It returns the previous era and version, and whether the era has changed.
func (s *eras) observe(stamp table.Stamp, recent func() []string, covered bool) (from table.Stamp, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from = table.Stamp{Era: s.era, Version: s.newestVersion}
	refused := stamp.Clock == 0
	switch {
	case !s.eraKnown && refused:
		return from, false
	case !s.eraKnown:
		s.eraKnown, s.era, s.startedAt = true, stamp.Era, time.Now()
		changed = stamp.Era > 0
	case stamp.Era > s.era:
		s.era, s.startedAt = stamp.Era, time.Now()
		s.newestVersion, s.corrected = 0, 0
		if s.settled {
			// Every incarnation that ran before the previous era is accounted for.
			s.recent = nil
		}
		s.restored, s.settled, s.unsettledReported, s.historyFromPeers = false, false, false, false
		s.historyKnown = s.historyKnown && (s.journalOpened || s.storeWasEmpty)
		s.startObserved = s.historyKnown && covered
		s.recent = append(s.recent, recent()...)
		changed = true
	}
	if stamp.Era == s.era {
		s.newestVersion = max(s.newestVersion, stamp.Version)
	}
	return from, changed
}

// addCorrection adds to the number of tokens by which the VM's rows differed from those in the
// store.
func (s *eras) addCorrection(era uint64, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era == era {
		s.corrected += tokens
	}
}

// correction returns the number of tokens by which the VM's rows differed from those in the
// store.
func (s *eras) correction() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.corrected
}

// requestCheck schedules a check whether the era is settled.
func (s *eras) requestCheck() {
	select {
	case s.checkRequested <- struct{}{}:
	default:
	}
}

// observeStamp updates the journal's clock and the era from the stamp of a store call; an
// empty stamp means that the store did not answer.
func (m *Manager) observeStamp(stamp table.Stamp) {
	m.journal.updateClock(stamp, time.Now())
	from, changed := m.startEra(stamp)
	if !changed {
		return
	}
	if !m.journal.isOpen() {
		return
	}
	m.OnEvent(Event{Kind: StoreRolledBack, From: from, To: stamp})
	m.journal.requestWrite()
	m.eras.requestCheck()
}

// startEra begins the era of a stamp if it is new. Once it returns, no rows that the stamp came with are
// taken for those of an earlier era: they may be of an older state than the holdings know.
func (m *Manager) startEra(stamp table.Stamp) (from table.Stamp, changed bool) {
	m.eras.starting.Lock()
	defer m.eras.starting.Unlock()
	from, changed = m.eras.observe(stamp, m.recentIncarnations, m.coverage.isComplete(time.Now()))
	if !changed {
		return from, false
	}
	for _, h := range m.allHoldings() {
		h.startEra(stamp.Era, m.incarnation())
	}
	m.journal.startEra(stamp.Era)
	return from, true
}

// ObserveEra records the store's era from the answer to any other call of this router.
func (m *Manager) ObserveEra(stamp table.Stamp) {
	m.init()
	era, _ := m.eras.current()
	if m.journal.isOpen() && stamp.Era > era {
		m.observeStamp(stamp)
	}
}

// startEra prepares the holding for a new era: what this incarnation knows of its row takes
// precedence over what the store contains.
func (h *holding) startEra(era uint64, incarnation string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.era >= era {
		return
	}
	if h.rowsCurrent {
		if h.row.Incarnation == incarnation {
			// Tokens that may have been returned may have been drawn by others since.
			h.drawn -= h.returning
			h.row.Tokens = h.drawn
		}
		lastRow := h.row
		h.rowToRestore = &lastRow
	}
	h.returning = 0
	h.era = era
	h.rowsCurrent, h.stored = false, nil
	h.lastCheck = exhaustionCheck{}
}

// startEra makes the journal's next write the first in the era.
func (j *journal) startEra(era uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if era > j.era {
		j.era, j.version = era, noVersion
		j.writtenInEra, j.ownedInEra, j.confirmSince = false, false, time.Time{}
	}
}

// isWrittenIn reports whether a journal write took effect in the era.
func (j *journal) isWrittenIn(era uint64) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.era == era && j.writtenInEra
}

// EraState describes the store's era for a state dump.
type EraState struct {
	Era     uint64 `json:"era"`
	Settled bool   `json:"settled"`
	// Awaited are the incarnations of which it is not known what they have drawn.
	Awaited []string `json:"awaited,omitempty"`
}

// EraState returns what is known of the store's era.
func (m *Manager) EraState() EraState {
	s := &m.eras
	s.mu.Lock()
	defer s.mu.Unlock()
	return EraState{Era: s.era, Settled: s.settled, Awaited: s.awaited}
}
