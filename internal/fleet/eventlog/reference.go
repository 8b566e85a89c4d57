package eventlog

import (
	"fmt"
	"io"
	"strings"
)

//go:generate sh -c "../../../bin/rosevalve events > ../../../docs/EVENTS.md"

const referenceHead = `# Events of the log

This page is made from the list of events by ` + "`make generate`" + `; change it in
internal/fleet/eventlog.

Each line of an edge process has ` + "`time`, `level`, `msg`" + ` (the event), ` + "`component`" + ` and
the fields below; ` + "`dropped_lines`" + ` tells how many lines before it did not fit into the
budget. Events marked with * are dropped first. Units stand in the names of the fields;
an ` + "`age`" + ` is the time since the input was last confirmed.
`

// WriteReference writes a page with every event.
func WriteReference(w io.Writer) error {
	var b strings.Builder
	b.WriteString(referenceHead)
	last := Component(-1)
	for e := range eventCount {
		s := specs[e]
		if s.component != last {
			last = s.component
			fmt.Fprintf(&b, "\n## %s\n\n| event | what it says | fields |\n| --- | --- | --- |\n", last)
		}
		mark := ""
		if s.ordinary {
			mark = " *"
		}
		fmt.Fprintf(&b, "| `%s`%s | %s | %s |\n", e, mark, s.doc, s.fields)
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write reference: %w", err)
	}
	return nil
}
