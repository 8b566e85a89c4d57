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
	// run serves until ctx is cancelled. repeatedStop receives the signals to stop that arrive later.
	run func(ctx context.Context, cfg settings.Settings, flags *settings.Flags, repeatedStop <-chan os.Signal) error
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
			// A write to a log that nobody reads any more must fail and not end the process.
			signal.Ignore(syscall.SIGPIPE)
			ctx, repeated, stop := withStopSignals(ctx)
			defer stop()
			if err := s.run(ctx, cfg, flags, repeated); err != nil {
				return fmt.Errorf("run %s: %w", s.name, err)
			}
			return nil
		},
	}
	return subcommand{command: command, options: flags.ParseOptions()}
}

// notifySIGHUP returns a channel that receives SIGHUP, the signal to reload the settings, if args begin
// with the name of the subcommand. Commands call it before anything else starts, since SIGHUP ends a
// process that does not handle it.
func notifySIGHUP(name string, args []string) <-chan os.Signal {
	if len(args) == 0 || args[0] != name {
		return nil
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// interruptsToEnd is the number of SIGINT at which the process ends without waiting for requests.
const interruptsToEnd = 2

// withStopSignals returns a context that is cancelled by the first SIGTERM or SIGINT, and a channel
// that receives the later ones. The second SIGINT, which a person sends, ends the process at once.
// Further SIGTERM do not, since platforms repeat them.
func withStopSignals(ctx context.Context) (context.Context, <-chan os.Signal, context.CancelFunc) {
	ctx, stop := context.WithCancel(ctx)
	terminations := make(chan os.Signal, 1)
	signal.Notify(terminations, syscall.SIGTERM)
	interrupts := make(chan os.Signal, interruptsToEnd)
	signal.Notify(interrupts, syscall.SIGINT)
	repeated := make(chan os.Signal, 1)
	go forwardStopSignals(stop, terminations, interrupts, repeated)
	return ctx, repeated, stop
}

// forwardStopSignals calls stop at the first signal and sends the later ones to repeated, except those
// that arrive while nothing receives there. It does not return.
func forwardStopSignals(stop func(), terminations, interrupts <-chan os.Signal, repeated chan<- os.Signal) {
	interruptCount := 0
	for first := true; ; first = false {
		var received os.Signal
		select {
		case received = <-terminations:
		case received = <-interrupts:
			interruptCount++
		}
		if interruptCount == interruptsToEnd {
			os.Exit(exitFailed)
		}
		if first {
			stop()
			continue
		}
		select {
		case repeated <- received:
		default:
		}
	}
}
