package rosevalve

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v4"

	"rosevalve/internal/fleet/edge"
	"rosevalve/internal/fleet/eventlog"
	"rosevalve/internal/fleet/settings"
)

const edgeHelp = `Serves routed requests on the users' platform until it is told to stop.

Settings come from where those of "rosevalve router" come from. SIGTERM or SIGINT
starts a graceful stop; a second one ends the process at once. A changed settings file
is read again, at the latest after SIGHUP.

EXAMPLES
  rosevalve edge --config edge.ini
  rosevalve edge --config edge.ini --check`

// edgeCommand runs a router for routed requests, or checks its settings. The arguments
// begin with its name; they are read again when the settings change.
func edgeCommand(args []string, stdout io.Writer) subcommand {
	flags := settings.NewFlags("edge")
	var check bool
	flags.FlagSet().BoolVar(&check, 0, "check", "check the settings and exit")
	command := &ff.Command{
		Name:      "edge",
		Usage:     "rosevalve edge [FLAGS]",
		ShortHelp: "run a router for routed requests",
		LongHelp:  edgeHelp,
		Flags:     flags.FlagSet(),
		Exec: func(ctx context.Context, _ []string) error {
			cfg, err := flags.Settings()
			if err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			if check {
				fmt.Fprintln(stdout, "settings are valid")
				return nil
			}
			ctx, stop := untilStopped(ctx)
			defer stop()
			e := &edge.Edge{
				Settings: cfg,
				Events:   &eventlog.Log{Out: stdout, Format: cfg.Log.Format},
				File:     flags.File(),
				Reload:   func() (settings.Settings, error) { return settings.Read(args[0], args[1:]) },
				Hangup:   hangups(),
			}
			if err := e.Run(ctx); err != nil {
				return fmt.Errorf("run edge: %w", err)
			}
			return nil
		},
	}
	return subcommand{command: command, options: flags.ParseOptions()}
}

// hangups returns the signals that tell of changed settings.
func hangups() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}
