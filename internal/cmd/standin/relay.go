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

// relayCommand measures what relaying streams costs a router.
func relayCommand(stdout io.Writer) *ff.Command {
	m := &relay.Measure{}
	set := ff.NewFlagSet("relay")
	set.StringVar(&m.Router, 0, "router", "127.0.0.1:7001", "address of the router")
	set.IntVar(&m.PID, 0, "pid", 0, "process of the router")
	set.StringVar(&m.Key, 0, "key", "demo-workspace-key", "workspace key")
	set.IntVar(&m.Streams, 0, "streams", 250, "streams to hold open")
	tokens := set.Int(0, "tokens", 30000, "tokens that each stream asks for")
	set.DurationVar(&m.Warm, 0, "warm", 3*time.Second, "time before the measurement")
	set.DurationVar(&m.Duration, 0, "duration", 5*time.Second, "length of the measurement")
	return &ff.Command{
		Name:      "relay",
		Usage:     "rosevalve-standin relay [FLAGS]",
		ShortHelp: "measure what relaying streams costs a router",
		Flags:     set,
		Exec: func(context.Context, []string) error {
			m.Tokens = int64(*tokens)
			report, err := m.Run()
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
