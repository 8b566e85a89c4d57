package rosevalve

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v4"

	"rosevalve/internal/fleet/settings"
)

// server describes a subcommand that serves until it receives SIGTERM or SIGINT.
type server struct {
	name, short, help string
	// run serves until ctx is cancelled.
	run func(ctx context.Context, cfg settings.Settings, flags *settings.Flags) error
}

// subcommand returns the subcommand that runs the server or, with --check, only validates
// its settings.
func (s server) subcommand(stdout io.Writer) subcommand {
	flags := settings.NewFlags(s.name)
	var check bool
	flags.FlagSet().BoolVar(&check, 0, "check", "check the settings and exit")
	command := &ff.Command{
		Name:      s.name,
		Usage:     "rosevalve " + s.name + " [FLAGS]",
		ShortHelp: s.short,
		LongHelp:  s.help,
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
			ctx, stop := withStopSignals(ctx)
			defer stop()
			if err := s.run(ctx, cfg, flags); err != nil {
				return fmt.Errorf("run %s: %w", s.name, err)
			}
			return nil
		},
	}
	return subcommand{command: command, options: flags.ParseOptions()}
}

// withStopSignals returns a context that is cancelled by the first SIGTERM or SIGINT; the
// second one ends the process at once.
func withStopSignals(ctx context.Context) (context.Context, context.CancelFunc) {
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
