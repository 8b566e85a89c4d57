package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v4"

	"rosevalve/internal/standin/relay"
)

// relayCommand returns the subcommand that measures the CPU time and memory with
// which a router relays streams.
func relayCommand(stdout io.Writer) *ff.Command {
	measure := &relay.Measure{}
	flags := ff.NewFlagSet("relay")
	flags.StringVar(&measure.Router, 0, "router", "127.0.0.1:7001", "address of the router")
	flags.IntVar(&measure.PID, 0, "pid", 0, "process of the router")
	flags.StringVar(&measure.Key, 0, "key", "demo-workspace-key", "workspace key")
	flags.IntVar(&measure.Streams, 0, "streams", 250, "streams to hold open")
	tokens := flags.Int(0, "tokens", 30000, "tokens that each stream asks for")
	flags.DurationVar(&measure.Warm, 0, "warm", 3*time.Second, "time before the measurement")
	flags.DurationVar(&measure.Duration, 0, "duration", 5*time.Second, "length of the measurement")
	return &ff.Command{
		Name:      "relay",
		Usage:     "rosevalve-standin relay [FLAGS]",
		ShortHelp: "measure what relaying streams costs a router",
		Flags:     flags,
		Exec: func(context.Context, []string) error {
			measure.Tokens = int64(*tokens)
			report, err := measure.Run()
			if err != nil {
				return err
			}
			b, err := json.Marshal(report)
			if err != nil {
				return fmt.Errorf("encode report: %w", err)
			}
			fmt.Fprintln(stdout, string(b))
			return nil
		},
	}
}
