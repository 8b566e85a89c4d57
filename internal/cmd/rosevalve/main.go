package rosevalve

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"rosevalve/internal/fleet/eventlog"
	"rosevalve/internal/fleet/settings"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// errUsage marks invalid arguments and settings, for which the program exits with exitUsage.
var errUsage = errors.New("usage")

// subcommand is a command with the options for parsing its flags, such as the environment
// variables and files that they are read from.
type subcommand struct {
	command *ff.Command
	options []ff.Option
}

// Main runs the subcommand that args begin with and returns the exit code of the program.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	subcommands := []subcommand{
		routerCommand(args, stdout, stderr),
		edgeCommand(args, stdout),
		ctlCommand(os.Stdin, stdout),
		referenceCommand("settings", "describe the settings of a router", "docs/CONFIGURATION.md", settings.WriteReference, stdout),
		referenceCommand("events", "describe the events of the log", "docs/EVENTS.md", eventlog.WriteReference, stdout),
		versionCommand(stdout),
	}
	if len(args) > 0 {
		for _, s := range subcommands {
			if s.command.Name == args[0] {
				return run(ctx, s, args[1:], stdout, stderr)
			}
		}
	}
	root := &ff.Command{
		Name:      "rosevalve",
		Usage:     "rosevalve SUBCOMMAND [FLAGS]",
		ShortHelp: "routers for prepaid token budgets",
		Flags:     ff.NewFlagSet("rosevalve"),
	}
	for _, s := range subcommands {
		root.Subcommands = append(root.Subcommands, s.command)
	}
	fmt.Fprintln(stderr, ffhelp.Command(root))
	if len(args) > 0 && (args[0] == "--help" || args[0] == "-h" || args[0] == "help") {
		return exitOK
	}
	return exitUsage
}

// run parses the arguments of a subcommand, runs it and returns the exit code.
func run(ctx context.Context, s subcommand, args []string, stdout, stderr io.Writer) int {
	err := s.command.Parse(args, s.options...)
	if errors.Is(err, ff.ErrHelp) {
		fmt.Fprintln(stdout, ffhelp.Command(s.command))
		return exitOK
	}
	if err != nil {
		fmt.Fprintf(stderr, "rosevalve %s: %v\n", s.command.Name, err)
		return exitUsage
	}
	if err := s.command.Run(ctx); err != nil {
		fmt.Fprintf(stderr, "rosevalve %s: %v\n", s.command.Name, err)
		if errors.Is(err, errUsage) {
			return exitUsage
		}
		return exitFailed
	}
	return exitOK
}
