package platform

import (
	"sort"
	"strings"
	"sync"

	"rosevalve/internal/platform/table"
)

// Store is the stand-in's table: rows under one lock, versioned by commit number.
type Store struct {
	mu      sync.Mutex // guards version, rows and keys
	version uint64
	rows    map[string]table.Row
	keys    []string // sorted; rebuilt lazily when dirty
	dirty   bool
}

// NewStore returns an empty table.
func NewStore() *Store {
	return &Store{rows: make(map[string]table.Row)}
}

// Commit applies the writes if all conditions hold, and otherwise returns a *table.ConflictError.
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
			row = table.Row{Place: cond.Place}
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

func (s *Store) put(p table.Put) {
	_, exists := s.rows[p.Key]
	if p.Delete {
		delete(s.rows, p.Key)
		s.dirty = s.dirty || exists
		return
	}
	s.dirty = s.dirty || !exists
	s.rows[p.Key] = table.Row{Place: p.Place, Version: s.version, Value: p.Value}
}

// Get returns the rows that exist among the keys.
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

// Scan returns at most limit rows with the prefix whose keys sort after the key after.
func (s *Store) Scan(prefix, after string, limit int) []table.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sortKeys()
	from := max(prefix, after)
	var out []table.Row
	for i := sort.SearchStrings(s.keys, from); i < len(s.keys) && len(out) < limit; i++ {
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

func (s *Store) sortKeys() {
	if !s.dirty {
		return
	}
	s.keys = s.keys[:0]
	for k := range s.rows {
		s.keys = append(s.keys, k)
	}
	sort.Strings(s.keys)
	s.dirty = false
}
