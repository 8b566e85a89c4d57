package standin

import (
	"context"
	"strings"

	"github.com/peterbourgon/ff/v4"

	"rosevalve/internal/standin/engine"
)

// engineCommand runs a model engine's stand-in.
func engineCommand() *ff.Command {
	s := &engine.Server{}
	var addr, models string
	set := ff.NewFlagSet("engine")
	set.StringVar(&addr, 0, "listen", "127.0.0.1:8001", "address to serve")
	set.StringVar(&models, 0, "models", "demo", "models served, separated by commas")
	set.DurationVar(&s.TokenInterval, 0, "token-interval", 0, "time between two tokens of a run")
	set.IntVar(&s.Slots, 0, "slots", 32, "runs that generate at the same time")
	return &ff.Command{
		Name:      "engine",
		Usage:     "rosevalve-standin engine [FLAGS]",
		ShortHelp: "model engine",
		Flags:     set,
		Exec: func(context.Context, []string) error {
			s.Models = strings.Split(models, ",")
			return s.Run(addr)
		},
	}
}
