package follow

import (
	"bytes"
	"cmp"
	"encoding/base64"
	"slices"
	"sync"

	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
)

// maxTombstones is the largest number of tombstones (rows marked as deleted) that are kept
// so that other routers can apply the deletions.
const maxTombstones = 4096

const (
	// rowOverhead is about what a row takes on the wire besides its key and value, in bytes.
	rowOverhead = 100
	// minAnswerSlack is what the changes to a table may take beyond its size at least, in bytes. It is little to read, and
	// more than a table usually grows by at once.
	minAnswerSlack = 64 << 10
)

// rowSet is the local copy of the table, including tombstones.
type rowSet struct {
	valid func(r table.Row) bool // see Table.Valid

	mu      sync.Mutex // guards the fields below; held while OnRows runs
	rows    map[string]table.Row
	lengths map[string]int // of the values in the store, by key; rows that are not valid are kept without theirs
	era     uint64         // store era of all versions below
	version uint64         // all changes up to this version are in rows
	// tombstonesSince is the version from which on all deletions are kept as tombstones.
	tombstonesSince uint64
	tombstones      int // number of tombstones in rows
}

// change is a batch of rows from the store or from another router.
type change struct {
	era      uint64
	version  uint64 // rows brings the copy up to this version
	rows     []table.Row
	snapshot bool // rows is the whole table; a row that it lacks is deleted
}

// position returns the version up to which the copy is complete, and the era of that version.
func (s *rowSet) position() (era, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era, s.version
}

// maxAnswerBytes returns the size, on the wire, above which the changes to the table are larger than the table itself
// may be, so that reading the table is cheaper. The changes hold each version of a row.
func (s *rowSet) maxAnswerBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := 0
	for key, length := range s.lengths {
		size += rowOverhead + len(key) + base64.StdEncoding.EncodedLen(length)
	}
	return size + max(size/2, minAnswerSlack)
}

// merge applies a change and passes the rows that changed to onRows. It returns how many they are and
// whether the change started a new era. It ignores a change from an earlier era, and a change from a
// later era that is not a snapshot.
func (s *rowSet) merge(c change, newer func(a, b table.Row) bool, from Source, onRows func(rows []table.Row, from Source)) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newEra := s.rows != nil && c.era > s.era
	switch {
	case c.era < s.era || newEra && !c.snapshot:
		return 0, false
	case s.rows == nil:
		s.rows = make(map[string]table.Row)
		s.lengths = make(map[string]int)
		s.tombstonesSince = c.version
	}
	if newEra {
		s.beginEra(c)
	}
	s.era = c.era
	var changed []table.Row
	for _, r := range c.rows {
		if s.apply(r, newer) {
			changed = append(changed, r)
		}
	}
	if c.snapshot {
		changed = append(changed, s.deleteMissing(c.rows, c.version)...)
	}
	s.version = max(s.version, c.version)
	s.limitTombstones()
	slices.SortStableFunc(changed, func(a, b table.Row) int { return cmp.Compare(a.Version, b.Version) })
	if len(changed) > 0 {
		from.Era, from.RolledBack = c.era, newEra
		onRows(changed, from)
	}
	return len(changed), newEra
}

// beginEra prepares the copy for the snapshot of a new era. It resets the known versions
// to 0, so that every row of the new era counts as later, and drops the tombstones, since
// the rolled-back store may contain the deleted rows again. The caller holds mu.
func (s *rowSet) beginEra(c change) {
	for key, r := range s.rows {
		if r.Deleted {
			delete(s.rows, key)
			continue
		}
		r.Version = 0
		s.rows[key] = r
	}
	s.tombstones = 0
	s.version, s.tombstonesSince = c.version, c.version
}

// apply adds or replaces a row and reports whether its content changed. A row with older
// content than the known one, as a rolled-back store may return, changes at most the known
// version. The caller holds mu.
func (s *rowSet) apply(r table.Row, newer func(a, b table.Row) bool) bool {
	old, ok := s.rows[r.Key]
	canCompare := ok && !old.Deleted && !r.Deleted && newer != nil
	switch {
	case ok && old.Version == r.Version && old.Deleted == r.Deleted && bytes.Equal(old.Value, r.Value):
		// The store and another router send the same row; newer may be slow for a large one.
		return false
	case canCompare && old.Version == 0 && newer(old, r):
		old.Version = r.Version
		s.rows[r.Key] = old
		return false
	case ok && old.Version >= r.Version && (!canCompare || !newer(r, old)):
		return false
	case ok && old.Version == 0 && bytes.Equal(old.Value, r.Value):
		s.put(r)
		return false
	}
	s.put(r)
	return true
}

// put replaces a row and updates the number of tombstones. It drops the value of a row that is
// not valid. The caller holds mu.
func (s *rowSet) put(r table.Row) {
	s.lengths[r.Key] = len(r.Value)
	if r.Deleted {
		delete(s.lengths, r.Key)
	}
	if s.valid != nil && !r.Deleted && !s.valid(r) {
		r.Value = nil
	}
	if s.rows[r.Key].Deleted {
		s.tombstones--
	}
	if r.Deleted {
		s.tombstones++
	}
	s.rows[r.Key] = r
}

// deleteMissing marks the rows that are missing from a snapshot at the given version as
// deleted, and returns their tombstones. The caller holds mu.
func (s *rowSet) deleteMissing(present []table.Row, version uint64) []table.Row {
	inSnapshot := make(map[string]bool, len(present))
	for _, r := range present {
		inSnapshot[r.Key] = true
	}
	var removed []table.Row
	for key, r := range s.rows {
		if inSnapshot[key] || r.Deleted || r.Version > version {
			continue
		}
		r.Deleted, r.Version, r.Value = true, version, nil
		s.put(r)
		removed = append(removed, r)
	}
	return removed
}

// limitTombstones drops all tombstones once there are more than maxTombstones. Routers
// that are behind the present version then get a snapshot. The caller holds mu.
func (s *rowSet) limitTombstones() {
	if s.tombstones <= maxTombstones {
		return
	}
	for key, r := range s.rows {
		if r.Deleted {
			delete(s.rows, key)
		}
	}
	s.tombstones = 0
	s.tombstonesSince = s.version
}

// changesSince returns the rows that changed after a version of an era, or a snapshot if
// the era is another one or the tombstones do not reach back to the version.
func (s *rowSet) changesSince(era, version uint64) inner.FollowResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := inner.FollowResponse{Era: s.era, Version: s.version, Whole: era != s.era || version < s.tombstonesSince}
	for _, r := range s.rows {
		if out.Whole && r.Deleted || !out.Whole && r.Version <= version {
			continue
		}
		out.Rows = append(out.Rows, inner.FollowedRow{Key: r.Key, Version: r.Version, Value: r.Value, Deleted: r.Deleted})
	}
	slices.SortFunc(out.Rows, func(a, b inner.FollowedRow) int { return cmp.Compare(a.Version, b.Version) })
	return out
}
