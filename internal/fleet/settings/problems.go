package settings

import (
	"fmt"
	"strings"
)

// ProblemsError reports all that is wrong with the settings.
type ProblemsError struct {
	// File is the INI file, or empty if none was given.
	File string
	// Problems are in the order of the options.
	Problems []error
}

// Error lists the problems, one a line.
func (e *ProblemsError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d settings are wrong", len(e.Problems))
	if e.File != "" {
		fmt.Fprintf(&b, " (file %s, environment and flags)", e.File)
	}
	for _, p := range e.Problems {
		fmt.Fprintf(&b, "\n  %v", p)
	}
	return b.String()
}

// Unwrap returns the problems.
func (e *ProblemsError) Unwrap() []error { return e.Problems }
