package table

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Location is the location of a row. All rows of a commit are in one partition. Table and
// Partition are empty in a store that has only keys.
type Location struct {
	Table     string `json:"table,omitempty"`
	Partition string `json:"partition,omitempty"`
	Key       string `json:"key"`
}

// Row is a row with the version of the commit that wrote it.
type Row struct {
	Location
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
	// Deleted is set in a list of changes for a row that was deleted at Version.
	Deleted bool `json:"deleted,omitempty"`
}

// Condition requires that a row still has the given version, or is absent if Version is 0.
type Condition struct {
	Location
	Version uint64 `json:"version"`
}

// Put writes the value of one row, or deletes the row if Delete is set.
type Put struct {
	Location
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"`
}

// Commit is a set of writes that is applied atomically if all conditions hold.
type Commit struct {
	Conditions []Condition `json:"conditions"`
	Puts       []Put       `json:"puts"`
}

// MaxPuts is the largest number of writes in one commit.
const MaxPuts = 256

// ErrUnavailable reports that the table service refused the operation or was not reached,
// and that nothing was applied.
var ErrUnavailable = errors.New("table unavailable")

// ErrUnreachable reports that this router could not reach the table service and that nothing
// was applied. Another router may reach it.
var ErrUnreachable = errors.New("table not reached")

// ErrCompacted reports that the store no longer has all changes since the requested
// version, or that they are larger than the poll allows, so that the whole table must be read.
var ErrCompacted = errors.New("changes of the table not available")

// ErrUnknownOutcome reports that a commit may or may not have been applied.
var ErrUnknownOutcome = errors.New("commit outcome unknown")

// ConflictError reports the rows on which the conditions of a commit failed.
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

// HasKey reports whether the commit conflicted on the row with the given key.
func (e *ConflictError) HasKey(key string) bool {
	for _, r := range e.Rows {
		if r.Key == key {
			return true
		}
	}
	return false
}

// Require adds a condition on the row with the given key and returns the commit.
func (c *Commit) Require(key string, version uint64) *Commit {
	return c.RequireAt(Location{Key: key}, version)
}

// RequireAt adds a condition on the row at the given location and returns the commit.
func (c *Commit) RequireAt(loc Location, version uint64) *Commit {
	c.Conditions = append(c.Conditions, Condition{Location: loc, Version: version})
	return c
}

// Set adds a write of the JSON encoding of v to the row with the given key.
func (c *Commit) Set(key string, v any) error {
	return c.SetAt(Location{Key: key}, v)
}

// SetAt adds a write of the JSON encoding of v to the row at the given location.
func (c *Commit) SetAt(loc Location, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode row %q: %w", loc.Key, err)
	}
	c.Puts = append(c.Puts, Put{Location: loc, Value: b})
	return nil
}

// Remove adds the deletion of the row with the given key.
func (c *Commit) Remove(key string) { c.RemoveAt(Location{Key: key}) }

// RemoveAt adds the deletion of the row at the given location.
func (c *Commit) RemoveAt(loc Location) {
	c.Puts = append(c.Puts, Put{Location: loc, Delete: true})
}

// Decode unmarshals the row's value into v.
func (r Row) Decode(v any) error {
	if err := json.Unmarshal(r.Value, v); err != nil {
		return fmt.Errorf("decode row %q: %w", r.Key, err)
	}
	return nil
}

// Stamp is the state of the store that every answer carries besides its rows.
type Stamp struct {
	// Era is the number of times that the store was rolled back to an older snapshot. After a
	// rollback the store assigns versions again, so a version identifies a commit only together with its
	// era. The stamp of a refused call holds only the era.
	Era uint64
	// Version is the store's newest version at the time of the answer.
	Version uint64
	// Clock is the store's monotonic clock at the time of the answer.
	Clock time.Duration
}

// Range selects rows of one partition of a table, by key.
type Range struct {
	Table     string
	Partition string
	// From is the first key of the range; empty starts at the first row.
	From string
	// To is the key that ends the range and is not part of it; empty ends after the last row.
	To string
	// Limit is the largest number of rows in one answer; 0 leaves it to the store.
	Limit int
}

// Poll asks for the changes to a table.
type Poll struct {
	// Table is the table's name.
	Table string
	// Since is the version after which the changes are asked for.
	Since uint64
	// Wait is how long the store waits for a change if there is none.
	Wait time.Duration
	// MaxBytes is the largest size of the answer, on the wire, that is read; 0 leaves it to the client.
	MaxBytes int
}

// KeyAfter returns the first key that sorts after the given key.
func KeyAfter(key string) string { return key + "\x00" }

// Page is a part of a table, read at a single version, or the changes since a version.
type Page struct {
	Stamp
	Rows []Row
	// HasMore reports that the range continues after the last row.
	HasMore bool
}
