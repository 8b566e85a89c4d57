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

// inforceCommand measures how fast configuration comes into force.
func inforceCommand(stdout io.Writer) *ff.Command {
	p := &inforce.Probe{}
	var routers string
	set := ff.NewFlagSet("inforce")
	set.StringVar(&routers, 0, "routers", "127.0.0.1:7001", "addresses of all routers, separated by commas")
	set.StringVar(&p.Key, 0, "key", "", "operator key")
	set.StringVar(&p.Workspace, 0, "workspace", "gorenjska", "workspace whose weight is changed")
	set.IntVar(&p.Changes, 0, "changes", 100, "number of changes")
	set.DurationVar(&p.Pause, 0, "pause", 100*time.Millisecond, "time between changes")
	return &ff.Command{
		Name:      "inforce",
		Usage:     "rosevalve-standin inforce [FLAGS]",
		ShortHelp: "measure how fast configuration comes into force",
		Flags:     set,
		Exec: func(ctx context.Context, _ []string) error {
			p.Routers = strings.Split(routers, ",")
			report, err := p.Run(ctx)
			if err != nil {
				return fmt.Errorf("measure configuration: %w", err)
			}
			return json.NewEncoder(stdout).Encode(report)
		},
	}
}
