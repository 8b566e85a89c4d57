package standin

import (
	"context"

	"github.com/peterbourgon/ff/v4"

	"rosevalve/internal/standin/platform"
)

// platformCommand runs the platform's stand-in.
func platformCommand() *ff.Command {
	s := &platform.Server{}
	var addr string
	set := ff.NewFlagSet("platform")
	set.StringVar(&addr, 0, "listen", "127.0.0.1:7900", "address to serve")
	set.IntVar(&s.WritesPerSecond, 0, "writes", 500, "commits accepted in a second")
	set.IntVar(&s.ReadsPerSecond, 0, "reads", 2000, "gets and scans accepted in a second")
	set.DurationVar(&s.VMLag, 0, "vm-lag", 0, "age of the VM list")
	return &ff.Command{
		Name:      "platform",
		Usage:     "rosevalve-standin platform [FLAGS]",
		ShortHelp: "table, objects and VM list",
		Flags:     set,
		Exec:      func(context.Context, []string) error { return s.Run(addr) },
	}
}
