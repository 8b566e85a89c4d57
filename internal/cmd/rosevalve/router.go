package rosevalve

import (
	"context"
	"io"
	"os"

	"github.com/charmbracelet/log"

	"rosevalve/internal/fleet/eventlog"
	"rosevalve/internal/fleet/router"
	"rosevalve/internal/fleet/settings"
)

const routerHelp = `Serves callers, operators and other routers until it is told to stop.

Flags go before environment variables (ROSEVALVE_SECTION_KEY), which go before
the INI file. SIGTERM or SIGINT starts a graceful stop; a second SIGINT ends the
process at once, while a further SIGTERM changes nothing. A changed INI file is
read again, at the latest after SIGHUP; drain_limit, the operator's key and the
log level then take effect, and all other settings at a restart.

EXAMPLES
  rosevalve router --config router.ini
  rosevalve router --config router.ini --check
  rosevalve router --router.listen 127.0.0.1:7001 --platform.addr 127.0.0.1:7900`

const routerName = "router"

// routerCommand returns the subcommand that runs a router. args are the arguments of the program, as
// for edgeCommand.
func routerCommand(args []string, stdout, stderr io.Writer) subcommand {
	sighup := notifySIGHUP(routerName, args)
	run := func(ctx context.Context, cfg settings.Settings, flags *settings.Flags, repeatedStop <-chan os.Signal) error {
		out := &eventlog.Writer{Out: stderr}
		logger := newLogger(cfg, out)
		out.OnDropped = func(lines int) { logger.Warn("log lines dropped", "lines", lines) }
		defer eventlog.Start(out.Run)()
		r := &router.Router{
			Settings:     cfg,
			Log:          logger,
			SettingsFile: flags.File(),
			ReadSettings: func() (settings.Settings, error) { return settings.Read(args[0], args[1:]) },
			ReloadSignal: sighup,
			RepeatedStop: repeatedStop,
		}
		return r.Run(ctx)
	}
	return server{name: routerName, short: "run a router", help: routerHelp, run: run}.subcommand(stdout)
}

// newLogger returns a logger with the level and the format of the settings. It logs at
// level info if the level is unknown.
func newLogger(cfg settings.Settings, w io.Writer) *log.Logger {
	level, err := log.ParseLevel(cfg.Log.Level)
	if err != nil {
		level = log.InfoLevel
	}
	formatter := log.TextFormatter
	if cfg.Log.Format == "json" {
		formatter = log.JSONFormatter
	}
	return log.NewWithOptions(w, log.Options{Level: level, Formatter: formatter, ReportTimestamp: true})
}
