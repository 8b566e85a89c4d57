package rosevalve

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/peterbourgon/ff/v4"

	"rosevalve/internal/fleet/router"
	"rosevalve/internal/fleet/settings"
)

const routerHelp = `Serves callers, operators and other routers until it is told to stop.

Flags go before environment variables (ROSEVALVE_SECTION_KEY), which go before
the INI file. SIGTERM or SIGINT starts a graceful stop; a second one ends the
process at once.

EXAMPLES
  rosevalve router --config router.ini
  rosevalve router --config router.ini --check
  rosevalve router --router.listen 127.0.0.1:7001 --platform.addr 127.0.0.1:7900`

// routerCommand runs a router, or checks its settings.
func routerCommand(stdout, stderr io.Writer) subcommand {
	flags := settings.NewFlags("router")
	var check bool
	flags.FlagSet().BoolVar(&check, 0, "check", "check the settings and exit")
	command := &ff.Command{
		Name:      "router",
		Usage:     "rosevalve router [FLAGS]",
		ShortHelp: "run a router",
		LongHelp:  routerHelp,
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
			return runRouter(ctx, cfg, stderr)
		},
	}
	return subcommand{command: command, options: flags.ParseOptions()}
}

func runRouter(ctx context.Context, cfg settings.Settings, stderr io.Writer) error {
	ctx, stop := untilStopped(ctx)
	defer stop()
	r := &router.Router{Settings: cfg, Log: newLogger(cfg, stderr)}
	if err := r.Run(ctx); err != nil {
		return fmt.Errorf("run router: %w", err)
	}
	return nil
}

// untilStopped returns a context that ends with the first signal to stop; the second
// one ends the process.
func untilStopped(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		stop()
		<-signals
		os.Exit(exitFailed)
	}()
	return ctx, stop
}

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
