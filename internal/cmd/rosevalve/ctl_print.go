package rosevalve

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"rosevalve/internal/workspace/operator"
)

// Output formats of results.
const (
	formatTable = "table"
	formatPlain = "plain"
	formatJSON  = "json"
)

// unitFactor is the factor between binary units, such as KiB and MiB.
const unitFactor = 1024

// printResult prints the JSON body of a response in the output format.
func printResult(w io.Writer, format string, body []byte) error {
	if format == formatJSON {
		fmt.Fprintln(w, string(body))
		return nil
	}
	var r operator.Result
	if err := json.Unmarshal(body, &r); err != nil {
		return fmt.Errorf("decode result: %w", err)
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(r.Columns) > 0 {
		names := make([]string, len(r.Columns))
		for i, c := range r.Columns {
			names[i] = c.Name
		}
		fmt.Fprintln(tw, strings.Join(names, "\t"))
	}
	for _, row := range r.Rows {
		texts := make([]string, len(row))
		for i, cell := range row {
			texts[i] = formatCell(cell, r.Columns[i].Unit, format)
		}
		fmt.Fprintln(tw, strings.Join(texts, "\t"))
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("print result: %w", err)
	}
	if r.Message != "" {
		fmt.Fprintln(w, r.Message)
	}
	if r.Version != 0 {
		fmt.Fprintf(w, "version %d\n", r.Version)
	}
	return nil
}

// formatCell returns the text of a cell, or "-" for an empty one. Numbers, byte counts and
// durations are made readable unless the format is plain.
func formatCell(c operator.Cell, unit operator.Unit, format string) string {
	text := c.String()
	if text == "" {
		return "-"
	}
	if format == formatPlain {
		return text
	}
	switch unit {
	case operator.UnitNumber, operator.UnitTokens:
		return groupDigits(text)
	case operator.UnitBytes:
		return formatBytes(c.Number())
	case operator.UnitDuration:
		return (time.Duration(c.Number()) * time.Millisecond).String()
	default:
		return text
	}
}

// groupDigits separates groups of three digits, counted from the right, with commas.
func groupDigits(text string) string {
	digits, negative := strings.CutPrefix(text, "-")
	var b strings.Builder
	for i, d := range digits {
		if i > 0 && (len(digits)-i)%3 == 0 {
			b.WriteByte(',')
		}
		b.WriteRune(d)
	}
	if negative {
		return "-" + b.String()
	}
	return b.String()
}

// formatBytes returns a byte count with one decimal in the largest binary unit that fits.
func formatBytes(n int64) string {
	value := float64(n)
	for _, unit := range []string{"B", "KiB", "MiB", "GiB"} {
		if value < unitFactor {
			return strconv.FormatFloat(value, 'f', 1, 64) + unit
		}
		value /= unitFactor
	}
	return strconv.FormatFloat(value, 'f', 1, 64) + "TiB"
}
