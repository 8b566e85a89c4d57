package standin

import (
	"context"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v4"

	"rosevalve/internal/standin/engine"
)

// engineCommand returns the subcommand that serves the stand-in for a model engine.
func engineCommand() *ff.Command {
	server := &engine.Server{}
	var addr, models string
	flags := ff.NewFlagSet("engine")
	flags.StringVar(&addr, 0, "listen", "127.0.0.1:8001", "address to serve")
	flags.StringVar(&models, 0, "models", "demo", "models served, separated by commas")
	flags.DurationVar(&server.TokenInterval, 0, "token-interval", 0, "time between two tokens of a run")
	flags.IntVar(&server.Slots, 0, "slots", 32, "runs that generate at the same time")
	flags.Float64Var(&server.Batch.Slowdown, 0, "slowdown", 0, "part of the token interval that each run adds to it")
	flags.Func(0, "prefill", func(value string) (err error) {
		server.Batch.PrefillRate, err = strconv.ParseInt(value, 10, 64)
		return err
	}, "prompt tokens processed in a second")
	flags.IntVar(&server.Batch.CachedPrefixes, 0, "cached-prefixes", 0, "prompt prefixes that fit into the cache")
	flags.DurationVar(&server.Batch.ReportLag, 0, "report-lag", 0, "age of the load report")
	flags.DurationVar(&server.Batch.EventLag, 0, "event-lag", 0, "age of cache events when they are first shown")
	return &ff.Command{
		Name:      "engine",
		Usage:     "rosevalve-standin engine [FLAGS]",
		ShortHelp: "model engine",
		Flags:     flags,
		Exec: func(context.Context, []string) error {
			server.Models = strings.Split(models, ",")
			return server.Run(addr)
		},
	}
}
