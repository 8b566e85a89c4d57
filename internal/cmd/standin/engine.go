package standin

import (
	"context"
	"strconv"
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
	set.Float64Var(&s.Batch.Slowdown, 0, "slowdown", 0, "part of the token interval that each run adds to it")
	set.Func(0, "prefill", func(text string) (err error) {
		s.Batch.PrefillRate, err = strconv.ParseInt(text, 10, 64)
		return err
	}, "prompt tokens processed in a second")
	set.IntVar(&s.Batch.CachedPrefixes, 0, "cached-prefixes", 0, "prompt prefixes that fit into the cache")
	set.DurationVar(&s.Batch.ReportLag, 0, "report-lag", 0, "age of the load report")
	set.DurationVar(&s.Batch.EventLag, 0, "event-lag", 0, "age of cache events when they are first shown")
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
