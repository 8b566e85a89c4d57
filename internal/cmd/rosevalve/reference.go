package rosevalve

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v4"
)

// referenceCommand returns a subcommand that writes a page of the documentation which is
// generated from the code. path is where the repository keeps the page.
func referenceCommand(name, short, path string, write func(w io.Writer) error, stdout io.Writer) subcommand {
	return subcommand{command: &ff.Command{
		Name:      name,
		Usage:     "rosevalve " + name + " > " + path,
		ShortHelp: short,
		Exec:      func(context.Context, []string) error { return write(stdout) },
	}}
}
