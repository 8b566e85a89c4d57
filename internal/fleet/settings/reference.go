package settings

import (
	"fmt"
	"io"
	"strings"
)

//go:generate sh -c "../../../bin/rosevalve settings > ../../../docs/CONFIGURATION.md"

const referenceHead = `# Settings of a router

This page is made from the options by ` + "`make generate`" + `; change them in
internal/fleet/settings.

A flag goes before an environment variable, which goes before the INI file given
with ` + "`--config`" + `. The key ` + "`listen`" + ` of section ` + "`[router]`" + ` is the flag
` + "`--router.listen`" + ` and the variable ` + "`ROSEVALVE_ROUTER_LISTEN`" + `. All that is wrong is
told at once; ` + "`rosevalve router --check`" + ` only checks. Unknown sections and keys are
refused.
`

// WriteReference writes a page with every option.
func WriteReference(w io.Writer) error {
	var s Settings
	var b strings.Builder
	b.WriteString(referenceHead)
	section := ""
	for _, o := range s.Options() {
		if o.Section() != section {
			section = o.Section()
			fmt.Fprintf(&b, "\n## [%s]\n\n| key | default | allowed | what it does |\n| --- | --- | --- | --- |\n", section)
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", o.Key(), code(o.Default()), o.Allowed(), o.Doc())
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write reference: %w", err)
	}
	return nil
}

func code(text string) string {
	if text == "" {
		return "none"
	}
	return "`" + text + "`"
}
