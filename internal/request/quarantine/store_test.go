package quarantine

import "rosevalve/internal/platform/table"

// testStore holds the rows of a store in memory. Its user synchronizes access.
type testStore struct {
	rows    map[string]table.Row
	version uint64
}

// apply applies a commit of one row and returns the row that it wrote or deleted.
func (s *testStore) apply(c table.Commit) (table.Row, error) {
	condition, put := c.Conditions[0], c.Puts[0]
	if current, ok := s.rows[condition.Key]; current.Version != condition.Version {
		conflict := &table.ConflictError{}
		if ok {
			conflict.Rows = []table.Row{current}
		}
		return table.Row{}, conflict
	}
	s.version++
	row := table.Row{Location: put.Location, Version: s.version, Value: put.Value, Deleted: put.Delete}
	if delete(s.rows, put.Key); !put.Delete {
		s.rows[put.Key] = row
	}
	return row, nil
}
