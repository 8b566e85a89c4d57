package standin

import (
	"context"

	"github.com/peterbourgon/ff/v4"

	"rosevalve/internal/standin/service"
)

// serviceCommand returns the subcommand that serves the stand-in for a plain service.
func serviceCommand() *ff.Command {
	server := &service.Server{}
	var addr string
	flags := ff.NewFlagSet("service")
	flags.StringVar(&addr, 0, "listen", "127.0.0.1:8101", "address to serve")
	flags.DurationVar(&server.Delay, 0, "delay", 0, "time that each call takes")
	return &ff.Command{
		Name:      "service",
		Usage:     "rosevalve-standin service [FLAGS]",
		ShortHelp: "plain service",
		Flags:     flags,
		Exec:      func(context.Context, []string) error { return server.Run(addr) },
	}
}
