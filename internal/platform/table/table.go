package table

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Place is where a row is kept. A commit changes rows of one partition only; a
// store without tables and partitions has just keys.
type Place struct {
	Table     string `json:"table,omitempty"`
	Partition string `json:"partition,omitempty"`
	Key       string `json:"key"`
}

// Row is one row of the table with the version of the commit that wrote it.
type Row struct {
	Place
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
	// Deleted is set in a list of changes on a row that was removed at Version.
	Deleted bool `json:"deleted,omitempty"`
}

// Condition requires that a row still has a version, where 0 means that the row is absent.
type Condition struct {
	Place
	Version uint64 `json:"version"`
}

// Put writes the value of one row, or deletes the row.
type Put struct {
	Place
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"`
}

// Commit is a set of writes that takes effect as a whole, if every condition holds.
type Commit struct {
	Conditions []Condition `json:"conditions"`
	Puts       []Put       `json:"puts"`
}

// MaxPuts is the largest number of rows in one commit.
const MaxPuts = 256

// ErrUnavailable reports that the table refused the operation and did not apply it.
var ErrUnavailable = errors.New("table unavailable")

// ErrUnreachable reports that this router did not get through to the table, and that
// nothing was applied; another router may get through.
var ErrUnreachable = errors.New("table not reached")

// ErrHistoryLost reports that the store no longer has the changes since a version, so
// that the table must be read as a whole.
var ErrHistoryLost = errors.New("history of the table no longer kept")

// ErrUnknownOutcome reports that a commit may or may not have taken effect.
var ErrUnknownOutcome = errors.New("commit outcome unknown")

// ConflictError reports the conditions of a commit that did not hold.
type ConflictError struct {
	Rows []Row
}

// Error lists the keys of the conflicting rows.
func (e *ConflictError) Error() string {
	keys := make([]string, len(e.Rows))
	for i, r := range e.Rows {
		keys[i] = r.Key
	}
	return fmt.Sprintf("commit conflicts on rows %s", strings.Join(keys, ", "))
}

// Conflicts reports whether the commit conflicted on the row with the key.
func (e *ConflictError) Conflicts(key string) bool {
	for _, r := range e.Rows {
		if r.Key == key {
			return true
		}
	}
	return false
}

// Require adds a condition and returns the commit.
func (c *Commit) Require(key string, version uint64) *Commit {
	return c.RequireAt(Place{Key: key}, version)
}

// RequireAt adds a condition on the row at a place and returns the commit.
func (c *Commit) RequireAt(at Place, version uint64) *Commit {
	c.Conditions = append(c.Conditions, Condition{Place: at, Version: version})
	return c
}

// Set adds a write of the JSON encoding of v.
func (c *Commit) Set(key string, v any) error {
	return c.SetAt(Place{Key: key}, v)
}

// SetAt adds a write of the JSON encoding of v to the row at a place.
func (c *Commit) SetAt(at Place, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode row %q: %w", at.Key, err)
	}
	c.Puts = append(c.Puts, Put{Place: at, Value: b})
	return nil
}

// Remove adds the deletion of a row.
func (c *Commit) Remove(key string) { c.RemoveAt(Place{Key: key}) }

// RemoveAt adds the deletion of the row at a place.
func (c *Commit) RemoveAt(at Place) {
	c.Puts = append(c.Puts, Put{Place: at, Delete: true})
}

// Decode unmarshals the value of the row into v.
func (r Row) Decode(v any) error {
	if err := json.Unmarshal(r.Value, v); err != nil {
		return fmt.Errorf("decode row %q: %w", r.Key, err)
	}
	return nil
}

// Stamp is what each answer of the store carries besides its rows.
type Stamp struct {
	// Era counts the times that the store has come back from an older copy of itself. A
	// version names a commit only together with its era. A stamp of a call that was refused
	// carries nothing else.
	Era uint64
	// Version is the store's newest version when it answered.
	Version uint64
	// Clock is the store's own steady clock when it answered.
	Clock time.Duration
}

// Range names rows of one partition of a table.
type Range struct {
	Table     string
	Partition string
	// From is the first key of the range; empty begins at the first row.
	From string
	// To is the key before which the range ends; empty ends after the last row.
	To string
	// Limit bounds the rows of one answer; 0 leaves it to the store.
	Limit int
}

// Behind returns the first key that sorts after the key.
func Behind(key string) string { return key + "\x00" }

// Page is a part of a table as of one moment, or the changes since a version.
type Page struct {
	Stamp
	Rows []Row
	// More tells that the range goes on after the last row.
	More bool
}
