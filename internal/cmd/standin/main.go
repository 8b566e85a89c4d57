package standin

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
)

// Main runs the subcommand that args select and returns the exit code: 1 if the
// subcommand failed, otherwise 0.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &ff.Command{
		Name:        "rosevalve-standin",
		Usage:       "rosevalve-standin SUBCOMMAND [FLAGS]",
		ShortHelp:   "stand-ins for the systems around the routers",
		Subcommands: []*ff.Command{platformCommand(), engineCommand(), serviceCommand(), relayCommand(stdout), loadCommand(stdout), inforceCommand(stdout)},
	}
	err := root.ParseAndRun(ctx, args)
	switch {
	case errors.Is(err, ff.ErrHelp) || errors.Is(err, ff.ErrNoExec):
		fmt.Fprintln(stdout, ffhelp.Command(root.GetSelected()))
		return 0
	case err != nil:
		fmt.Fprintf(stderr, "rosevalve-standin: %v\n", err)
		return 1
	}
	return 0
}
