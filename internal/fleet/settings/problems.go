package settings

import (
	"fmt"
	"strings"
)

// ProblemsError reports all invalid settings at once.
type ProblemsError struct {
	// File is the path of the INI file, or empty if there is none.
	File string
	// Problems are the errors: first those found while reading the INI file, then those of the
	// options, in their order.
	Problems []error
}

// Error returns the number of problems, followed by one line for each.
func (e *ProblemsError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d settings are invalid", len(e.Problems))
	if e.File != "" {
		fmt.Fprintf(&b, " (file %s, environment and flags)", e.File)
	}
	for _, p := range e.Problems {
		fmt.Fprintf(&b, "\n  %v", p)
	}
	return b.String()
}

// Unwrap returns the problems, so that errors.Is and errors.As find each.
func (e *ProblemsError) Unwrap() []error { return e.Problems }
