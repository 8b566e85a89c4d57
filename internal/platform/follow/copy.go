package follow

import (
	"bytes"
	"cmp"
	"slices"
	"sync"

	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
)

// maxTombstones bounds the removals that are remembered for others.
const maxTombstones = 4096

// rowSet is the copy of the table.
type rowSet struct {
	mu      sync.Mutex // guards the fields below; held while a change is handed on
	rows    map[string]table.Row
	era     uint64 // of the store, to which all versions belong
	version uint64 // all changes up to it are in rows
	// floor is the version from which on removals are remembered.
	floor      uint64
	tombstones int
}

// change is what the store or another router says of the table.
type change struct {
	era     uint64
	version uint64 // up to which the rows are complete
	rows    []table.Row
	whole   bool // rows that are not among these are gone
}

// knows returns the version up to which the copy is complete, and its era.
func (s *rowSet) knows() (era, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era, s.version
}

// merge takes in a change, and hands on the rows that are new. It reports whether the
// store has begun a new era with it. A change of an era that has passed, or of a new one
// without the whole table, says nothing.
func (s *rowSet) merge(c change, newer func(a, b table.Row) bool, handOn func(rows []table.Row, fromCopy bool)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	began := s.rows != nil && c.era > s.era
	switch {
	case c.era < s.era || began && !c.whole:
		return false
	case s.rows == nil:
		s.rows = make(map[string]table.Row)
		s.floor = c.version
	}
	if began {
		s.enter(c)
	}
	s.era = c.era
	var changed []table.Row
	for _, r := range c.rows {
		if s.take(r, newer) {
			changed = append(changed, r)
		}
	}
	if c.whole {
		changed = append(changed, s.removeOthers(c.rows, c.version)...)
	}
	s.version = max(s.version, c.version)
	s.trim()
	slices.SortStableFunc(changed, func(a, b table.Row) int { return cmp.Compare(a.Version, b.Version) })
	if len(changed) > 0 {
		handOn(changed, began)
	}
	return began
}

// enter prepares for the rows of a new era, which all have later versions than those that
// are known. Removals are forgotten, since the store shows the rows again. The caller
// holds mu.
func (s *rowSet) enter(c change) {
	for key, r := range s.rows {
		if r.Deleted {
			delete(s.rows, key)
			continue
		}
		r.Version = 0
		s.rows[key] = r
	}
	s.tombstones = 0
	s.version, s.floor = c.version, c.version
}

// take takes a row in, and reports whether that changes anything. A row whose content is
// older than what is known, as in a copy of the store, changes nothing but the version.
// The caller holds mu.
func (s *rowSet) take(r table.Row, newer func(a, b table.Row) bool) bool {
	old, ok := s.rows[r.Key]
	known := ok && !old.Deleted && !r.Deleted && newer != nil
	switch {
	case known && old.Version == 0 && newer(old, r):
		old.Version = r.Version
		s.rows[r.Key] = old
		return false
	case ok && old.Version >= r.Version && (!known || !newer(r, old)):
		return false
	case ok && old.Version == 0 && bytes.Equal(old.Value, r.Value):
		s.put(r)
		return false
	}
	s.put(r)
	return true
}

// put replaces a row. The caller holds mu.
func (s *rowSet) put(r table.Row) {
	if s.rows[r.Key].Deleted {
		s.tombstones--
	}
	if r.Deleted {
		s.tombstones++
	}
	s.rows[r.Key] = r
}

// removeOthers marks the rows that a whole table at the version lacks. The caller holds mu.
func (s *rowSet) removeOthers(present []table.Row, version uint64) []table.Row {
	kept := make(map[string]bool, len(present))
	for _, r := range present {
		kept[r.Key] = true
	}
	var removed []table.Row
	for key, r := range s.rows {
		if kept[key] || r.Deleted || r.Version > version {
			continue
		}
		r.Deleted, r.Version, r.Value = true, version, nil
		s.put(r)
		removed = append(removed, r)
	}
	return removed
}

// trim forgets removals when there are too many. The caller holds mu.
func (s *rowSet) trim() {
	if s.tombstones <= maxTombstones {
		return
	}
	for key, r := range s.rows {
		if r.Deleted {
			delete(s.rows, key)
		}
	}
	s.tombstones = 0
	s.floor = s.version
}

// since answers another router that knows the table up to a version of an era.
func (s *rowSet) since(era, version uint64) inner.FollowResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := inner.FollowResponse{Era: s.era, Version: s.version, Whole: era != s.era || version < s.floor}
	for _, r := range s.rows {
		if out.Whole && r.Deleted || !out.Whole && r.Version <= version {
			continue
		}
		out.Rows = append(out.Rows, inner.FollowedRow{Key: r.Key, Version: r.Version, Value: r.Value, Deleted: r.Deleted})
	}
	slices.SortFunc(out.Rows, func(a, b inner.FollowedRow) int { return cmp.Compare(a.Version, b.Version) })
	return out
}
