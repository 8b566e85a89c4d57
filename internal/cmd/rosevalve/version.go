package rosevalve

import (
	"context"
	"fmt"
	"io"
	"runtime"

	"github.com/peterbourgon/ff/v4"
)

// Version is the release version of the program.
const Version = "0.1.0"

// versionCommand returns the subcommand that prints the versions of the program and of Go.
func versionCommand(stdout io.Writer) subcommand {
	return subcommand{command: &ff.Command{
		Name:      "version",
		Usage:     "rosevalve version",
		ShortHelp: "print the version",
		Exec: func(context.Context, []string) error {
			fmt.Fprintf(stdout, "rosevalve %s %s\n", Version, runtime.Version())
			return nil
		},
	}}
}
