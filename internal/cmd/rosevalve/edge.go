package rosevalve

import (
	"context"
	"io"
	"os"

	"rosevalve/internal/fleet/edge"
	"rosevalve/internal/fleet/eventlog"
	"rosevalve/internal/fleet/settings"
)

const edgeHelp = `Serves routed requests on the users' platform until it is told to stop.

Settings come from where those of "rosevalve router" come from. SIGTERM or SIGINT
starts a graceful stop; a second SIGINT ends the process at once, while a further SIGTERM
changes nothing. A changed settings file is read again, at the latest after SIGHUP.

EXAMPLES
  rosevalve edge --config edge.ini
  rosevalve edge --config edge.ini --check`

const edgeName = "edge"

// edgeCommand returns the subcommand that runs a router for routed requests. args are the
// arguments of the program, which begin with the name of a subcommand; they are parsed
// again, with the settings file, when the settings are reloaded.
func edgeCommand(args []string, stdout io.Writer) subcommand {
	sighup := notifySIGHUP(edgeName, args)
	run := func(ctx context.Context, cfg settings.Settings, flags *settings.Flags, repeatedStop <-chan os.Signal) error {
		e := &edge.Edge{
			Settings:     cfg,
			Events:       &eventlog.Log{Out: stdout, Format: cfg.Log.Format},
			SettingsFile: flags.File(),
			ReadSettings: func() (settings.Settings, error) { return settings.Read(args[0], args[1:]) },
			ReloadSignal: sighup,
			RepeatedStop: repeatedStop,
		}
		return e.Run(ctx)
	}
	return server{name: edgeName, short: "run a router for routed requests", help: edgeHelp, run: run}.subcommand(stdout)
}
