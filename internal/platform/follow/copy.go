package follow

import (
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
	version uint64 // all changes up to it are in rows
	newest  uint64 // the highest version of a row
	// floor is the version from which on removals are remembered.
	floor      uint64
	tombstones int
}

// knows returns the version up to which the copy is complete.
func (s *rowSet) knows() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// newestRow returns the highest version of a row.
func (s *rowSet) newestRow() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest
}

// merge takes in rows that are complete up to the version, and hands on those that
// are new. If whole is set, rows that are not among them are gone.
func (s *rowSet) merge(rows []table.Row, version uint64, whole bool, handOn func([]table.Row)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rows == nil {
		s.rows = make(map[string]table.Row)
		s.floor = version
	}
	var changed []table.Row
	for _, r := range rows {
		if old, ok := s.rows[r.Key]; ok && old.Version >= r.Version {
			continue
		}
		s.put(r)
		changed = append(changed, r)
	}
	if whole {
		changed = append(changed, s.removeOthers(rows, version)...)
	}
	s.version = max(s.version, version)
	s.trim()
	slices.SortStableFunc(changed, func(a, b table.Row) int { return cmp.Compare(a.Version, b.Version) })
	if len(changed) > 0 {
		handOn(changed)
	}
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
	s.newest = max(s.newest, r.Version)
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

// since answers another router that knows the table up to a version.
func (s *rowSet) since(version uint64) inner.FollowResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := inner.FollowResponse{Version: s.version, Whole: version < s.floor}
	for _, r := range s.rows {
		if out.Whole && r.Deleted || !out.Whole && r.Version <= version {
			continue
		}
		out.Rows = append(out.Rows, inner.FollowedRow{Key: r.Key, Version: r.Version, Value: r.Value, Deleted: r.Deleted})
	}
	slices.SortFunc(out.Rows, func(a, b inner.FollowedRow) int { return cmp.Compare(a.Version, b.Version) })
	return out
}
