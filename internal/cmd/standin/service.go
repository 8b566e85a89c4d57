package standin

import (
	"context"

	"github.com/peterbourgon/ff/v4"

	"rosevalve/internal/standin/service"
)

// serviceCommand runs a plain service's stand-in.
func serviceCommand() *ff.Command {
	s := &service.Server{}
	var addr string
	set := ff.NewFlagSet("service")
	set.StringVar(&addr, 0, "listen", "127.0.0.1:8101", "address to serve")
	set.DurationVar(&s.Delay, 0, "delay", 0, "time that each call takes")
	return &ff.Command{
		Name:      "service",
		Usage:     "rosevalve-standin service [FLAGS]",
		ShortHelp: "plain service",
		Flags:     set,
		Exec:      func(context.Context, []string) error { return s.Run(addr) },
	}
}
