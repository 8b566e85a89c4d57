package operator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strconv"
	"time"
)

//go:generate ../../../bin/stringer -type=Unit -linecomment

// Unit is the unit or type of the values in a column.
type Unit int

// Units of columns. The line comments are the names on the wire.
const (
	UnitText     Unit = iota // text
	UnitNumber               // number
	UnitTokens               // tokens
	UnitBytes                // bytes
	UnitDuration             // duration_ms
	UnitTime                 // time
	UnitBool                 // bool
)

// Column is the name and the unit of one column of a table.
type Column struct {
	Name string `json:"name"`
	Unit Unit   `json:"unit"`
}

// MarshalText encodes the unit as its name.
func (u Unit) MarshalText() ([]byte, error) { return []byte(u.String()), nil }

// UnmarshalText decodes the name of a unit.
func (u *Unit) UnmarshalText(text []byte) error {
	for candidate := UnitText; candidate <= UnitBool; candidate++ {
		if candidate.String() == string(text) {
			*u = candidate
			return nil
		}
	}
	return fmt.Errorf("unit %q does not exist", text)
}

// Cell is one value of a table, either a text or a number. Times and booleans are
// stored as texts, durations as numbers of milliseconds.
type Cell struct {
	text     string
	number   int64
	isNumber bool
}

// TextCell returns a cell that holds a text.
func TextCell(s string) Cell { return Cell{text: s} }

// NumberCell returns a cell that holds a number.
func NumberCell(n int64) Cell { return Cell{number: n, isNumber: true} }

// BoolCell returns a cell that holds the text "true" or "false".
func BoolCell(b bool) Cell { return Cell{text: strconv.FormatBool(b)} }

// TimeCell returns a cell that holds a time in UTC in the format RFC 3339, or an empty
// text for the zero time.
func TimeCell(t time.Time) Cell {
	if t.IsZero() {
		return Cell{}
	}
	return Cell{text: t.UTC().Format(time.RFC3339)}
}

// DurationCell returns a cell that holds a duration in whole milliseconds.
func DurationCell(d time.Duration) Cell { return NumberCell(d.Milliseconds()) }

// String returns the text, or the number in decimal.
func (c Cell) String() string {
	if c.isNumber {
		return strconv.FormatInt(c.number, 10)
	}
	return c.text
}

// Number returns the number, or 0 if the cell holds a text.
func (c Cell) Number() int64 { return c.number }

// MarshalJSON encodes the cell as a JSON string or number.
func (c Cell) MarshalJSON() ([]byte, error) {
	if c.isNumber {
		return json.Marshal(c.number)
	}
	return json.Marshal(c.text)
}

// UnmarshalJSON decodes a JSON string or number.
func (c *Cell) UnmarshalJSON(b []byte) error {
	if len(b) > 0 && b[0] == '"' {
		return json.Unmarshal(b, &c.text)
	}
	c.isNumber = true
	return json.Unmarshal(b, &c.number)
}

// compare returns the order of two cells as cmp.Compare does; numbers sort before texts.
func (c Cell) compare(other Cell) int {
	if c.isNumber != other.isNumber {
		if c.isNumber {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(c.number, other.number), cmp.Compare(c.text, other.text))
}

// Table is the result of a read command; each row has one cell per column.
type Table struct {
	Columns []Column
	Rows    [][]Cell
}

// columnIndex returns the index of the column with the name, or -1.
func (t Table) columnIndex(name string) int {
	for i, c := range t.Columns {
		if c.Name == name {
			return i
		}
	}
	return -1
}
