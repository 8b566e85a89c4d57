package eventlog

import (
	"fmt"
	"io"
	"strings"
)

//go:generate sh -c "../../../bin/rosevalve events > ../../../docs/EVENTS.md"

const referenceHead = `# Events of the log

This page is generated from the list of events in internal/fleet/eventlog by
` + "`make generate`" + `; do not edit it.

Each line of an edge process has ` + "`time`, `level`, `msg`" + ` (the event), ` + "`component`" + ` and
the fields below; ` + "`dropped_lines`" + ` is the number of lines dropped by the rate limit since
the previous line. Events marked with * are dropped first. Measured fields are
named with their unit; an ` + "`age`" + ` is the time since the input was last confirmed. A
life is one run of the process on its VM.
`

// WriteReference writes the Markdown reference page of all events, grouped by component.
func WriteReference(w io.Writer) error {
	var b strings.Builder
	b.WriteString(referenceHead)
	last := Component(-1)
	for e := range eventCount {
		s := specs[e]
		if s.component != last {
			last = s.component
			fmt.Fprintf(&b, "\n## %s\n\n| event | meaning | fields |\n| --- | --- | --- |\n", last)
		}
		mark := ""
		if s.lowPriority {
			mark = " *"
		}
		fmt.Fprintf(&b, "| `%s`%s | %s | %s |\n", e, mark, s.doc, s.fields)
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write reference: %w", err)
	}
	return nil
}
