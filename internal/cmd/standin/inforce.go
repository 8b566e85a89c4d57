package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"

	"rosevalve/internal/standin/inforce"
)

// inforceCommand returns the subcommand that measures configuration propagation.
func inforceCommand(stdout io.Writer) *ff.Command {
	probe := &inforce.Probe{}
	var routers string
	flags := ff.NewFlagSet("inforce")
	flags.StringVar(&routers, 0, "routers", "127.0.0.1:7001", "addresses of all routers, separated by commas")
	flags.StringVar(&probe.Key, 0, "key", "", "operator key")
	flags.StringVar(&probe.Workspace, 0, "workspace", "gorenjska", "workspace whose weight is changed")
	flags.IntVar(&probe.Changes, 0, "changes", 100, "number of changes")
	flags.DurationVar(&probe.Pause, 0, "pause", 100*time.Millisecond, "time between changes")
	return &ff.Command{
		Name:      "inforce",
		Usage:     "rosevalve-standin inforce [FLAGS]",
		ShortHelp: "measure how fast configuration comes into force",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			probe.Routers = strings.Split(routers, ",")
			report, err := probe.Run(ctx)
			if err != nil {
				return fmt.Errorf("measure configuration: %w", err)
			}
			return json.NewEncoder(stdout).Encode(report)
		},
	}
}
