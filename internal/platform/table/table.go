package table

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Row is one row of the table with the version of the commit that wrote it.
type Row struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Condition requires that a row still has a version, where 0 means that the row is absent.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes the value of one row, or deletes the row.
type Put struct {
	Key    string          `json:"key"`
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
	c.Conditions = append(c.Conditions, Condition{Key: key, Version: version})
	return c
}

// Set adds a write of the JSON encoding of v.
func (c *Commit) Set(key string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode row %q: %w", key, err)
	}
	c.Puts = append(c.Puts, Put{Key: key, Value: b})
	return nil
}

// Remove adds the deletion of a row.
func (c *Commit) Remove(key string) {
	c.Puts = append(c.Puts, Put{Key: key, Delete: true})
}

// Decode unmarshals the value of the row into v.
func (r Row) Decode(v any) error {
	if err := json.Unmarshal(r.Value, v); err != nil {
		return fmt.Errorf("decode row %q: %w", r.Key, err)
	}
	return nil
}
