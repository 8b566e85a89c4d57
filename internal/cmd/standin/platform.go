package standin

import (
	"context"

	"github.com/peterbourgon/ff/v4"

	"rosevalve/internal/standin/platform"
)

// platformCommand returns the subcommand that serves the stand-in for the platform.
func platformCommand() *ff.Command {
	server := &platform.Server{}
	var addr string
	flags := ff.NewFlagSet("platform")
	flags.StringVar(&addr, 0, "listen", "127.0.0.1:7900", "address to serve")
	flags.IntVar(&server.WritesPerSecond, 0, "writes", 500, "commits accepted in a second")
	flags.IntVar(&server.ReadsPerSecond, 0, "reads", 2000, "gets and scans accepted in a second")
	flags.DurationVar(&server.VMLag, 0, "vm-lag", 0, "age of the VM list")
	return &ff.Command{
		Name:      "platform",
		Usage:     "rosevalve-standin platform [FLAGS]",
		ShortHelp: "table, objects and VM list",
		Flags:     flags,
		Exec:      func(context.Context, []string) error { return server.Run(addr) },
	}
}
