package operator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strconv"
	"time"
)

//go:generate ../../../bin/stringer -type=Unit -linecomment

// Unit tells what the numbers and texts of a column mean.
type Unit int

// The units of columns.
const (
	UnitText     Unit = iota // text
	UnitNumber               // number
	UnitTokens               // tokens
	UnitBytes                // bytes
	UnitDuration             // duration_ms
	UnitTime                 // time
	UnitBool                 // bool
)

// Column is one column of a table.
type Column struct {
	Name string `json:"name"`
	Unit Unit   `json:"unit"`
}

// MarshalText encodes the unit as its name.
func (u Unit) MarshalText() ([]byte, error) { return []byte(u.String()), nil }

// UnmarshalText decodes the name of a unit.
func (u *Unit) UnmarshalText(text []byte) error {
	for known := UnitText; known <= UnitBool; known++ {
		if known.String() == string(text) {
			*u = known
			return nil
		}
	}
	return fmt.Errorf("unit %q does not exist", text)
}

// Cell is a text or a number; times are texts, durations numbers of milliseconds.
type Cell struct {
	text     string
	number   int64
	isNumber bool
}

// Text returns a cell with a text.
func Text(s string) Cell { return Cell{text: s} }

// Number returns a cell with a number.
func Number(n int64) Cell { return Cell{number: n, isNumber: true} }

// Bool returns a cell with a truth value.
func Bool(b bool) Cell { return Cell{text: strconv.FormatBool(b)} }

// Time returns a cell with a time, or an empty one.
func Time(t time.Time) Cell {
	if t.IsZero() {
		return Cell{}
	}
	return Cell{text: t.UTC().Format(time.RFC3339)}
}

// Duration returns a cell with a duration.
func Duration(d time.Duration) Cell { return Number(d.Milliseconds()) }

// String returns the text or the number.
func (c Cell) String() string {
	if c.isNumber {
		return strconv.FormatInt(c.number, 10)
	}
	return c.text
}

// Int returns the number, or 0.
func (c Cell) Int() int64 { return c.number }

// MarshalJSON encodes a text or a number.
func (c Cell) MarshalJSON() ([]byte, error) {
	if c.isNumber {
		return json.Marshal(c.number)
	}
	return json.Marshal(c.text)
}

// UnmarshalJSON decodes a text or a number.
func (c *Cell) UnmarshalJSON(b []byte) error {
	if len(b) > 0 && b[0] == '"' {
		return json.Unmarshal(b, &c.text)
	}
	c.isNumber = true
	return json.Unmarshal(b, &c.number)
}

// compare orders cells; numbers go before texts.
func (c Cell) compare(other Cell) int {
	if c.isNumber != other.isNumber {
		if c.isNumber {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(c.number, other.number), cmp.Compare(c.text, other.text))
}

// Table is rows with named columns.
type Table struct {
	Columns []Column
	Rows    [][]Cell
}

// column returns the index of the column with the name, or -1.
func (t Table) column(name string) int {
	for i, c := range t.Columns {
		if c.Name == name {
			return i
		}
	}
	return -1
}
