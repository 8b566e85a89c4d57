package platform

import (
	"sort"
	"strings"
	"sync"

	"rosevalve/internal/platform/table"
)

// Store is the table in memory. The version of a row is the number of the commit
// that last wrote it; commits are numbered from 1.
type Store struct {
	mu        sync.Mutex // guards the fields below
	version   uint64     // number of the most recent commit
	rows      map[string]table.Row
	keys      []string // keys of rows in ascending order, unless keysStale
	keysStale bool     // keys must be rebuilt before use
}

// NewStore returns an empty table.
func NewStore() *Store {
	return &Store{rows: make(map[string]table.Row)}
}

// Commit applies the writes if all conditions hold and returns the commit's
// version. Otherwise it returns a *table.ConflictError with the conflicting rows.
func (s *Store) Commit(c table.Commit) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflicts []table.Row
	for _, cond := range c.Conditions {
		row, ok := s.rows[cond.Key]
		if row.Version == cond.Version {
			continue
		}
		if !ok {
			row = table.Row{Location: cond.Location}
		}
		conflicts = append(conflicts, row)
	}
	if len(conflicts) > 0 {
		return 0, &table.ConflictError{Rows: conflicts}
	}
	s.version++
	for _, p := range c.Puts {
		s.put(p)
	}
	return s.version, nil
}

// put applies one write at the current version. The caller holds mu.
func (s *Store) put(p table.Put) {
	_, exists := s.rows[p.Key]
	if p.Delete {
		delete(s.rows, p.Key)
		s.keysStale = s.keysStale || exists
		return
	}
	s.keysStale = s.keysStale || !exists
	s.rows[p.Key] = table.Row{Location: p.Location, Version: s.version, Value: p.Value}
}

// Get returns the existing rows of the given keys.
func (s *Store) Get(keys []string) []table.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]table.Row, 0, len(keys))
	for _, k := range keys {
		if row, ok := s.rows[k]; ok {
			out = append(out, row)
		}
	}
	return out
}

// Scan returns, in the order of their keys, at most limit rows whose keys have the
// prefix and are greater than the key after.
func (s *Store) Scan(prefix, after string, limit int) []table.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sortKeys()
	start := max(prefix, after)
	var out []table.Row
	for i := sort.SearchStrings(s.keys, start); i < len(s.keys) && len(out) < limit; i++ {
		k := s.keys[i]
		if !strings.HasPrefix(k, prefix) {
			break
		}
		if k == after {
			continue
		}
		out = append(out, s.rows[k])
	}
	return out
}

// sortKeys rebuilds keys if they are stale. The caller holds mu.
func (s *Store) sortKeys() {
	if !s.keysStale {
		return
	}
	s.keys = s.keys[:0]
	for k := range s.rows {
		s.keys = append(s.keys, k)
	}
	sort.Strings(s.keys)
	s.keysStale = false
}
