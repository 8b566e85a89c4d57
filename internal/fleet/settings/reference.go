package settings

import (
	"fmt"
	"io"
	"strings"
)

//go:generate sh -c "../../../bin/rosevalve settings > ../../../docs/CONFIGURATION.md"

const referenceHead = `# Settings of a router

This page is generated from the options in internal/fleet/settings by
` + "`make generate`" + `; do not edit it.

A flag takes precedence over an environment variable, which takes precedence over the
INI file given with ` + "`--config`" + `. The key ` + "`listen`" + ` of section ` + "`[router]`" + ` is the flag
` + "`--router.listen`" + ` and the variable ` + "`ROSEVALVE_ROUTER_LISTEN`" + `. All errors
are reported at once; ` + "`rosevalve router --check`" + ` validates the settings and exits.
Unknown sections and keys are errors.
`

// WriteReference writes the Markdown reference page of all options, grouped by section.
func WriteReference(w io.Writer) error {
	var s Settings
	var b strings.Builder
	b.WriteString(referenceHead)
	section := ""
	for _, o := range s.Options() {
		if o.Section() != section {
			section = o.Section()
			fmt.Fprintf(&b, "\n## [%s]\n\n| key | default | allowed | meaning |\n| --- | --- | --- | --- |\n", section)
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", o.Key(), formatDefault(o.Default()), o.Allowed(), o.Doc())
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write reference: %w", err)
	}
	return nil
}

// formatDefault returns the default as Markdown code, or "none" if it is empty.
func formatDefault(text string) string {
	if text == "" {
		return "none"
	}
	return "`" + text + "`"
}
