package rosevalve

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v4"
)

// pageCommand writes a page of the documents that is made from the code.
func pageCommand(name, short, page string, write func(w io.Writer) error, stdout io.Writer) subcommand {
	return subcommand{command: &ff.Command{
		Name:      name,
		Usage:     "rosevalve " + name + " > " + page,
		ShortHelp: short,
		Exec:      func(context.Context, []string) error { return write(stdout) },
	}}
}
