package rosevalve

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v4"

	"rosevalve/internal/fleet/eventlog"
)

// eventsCommand describes the events of the log.
func eventsCommand(stdout io.Writer) subcommand {
	return subcommand{command: &ff.Command{
		Name:      "events",
		Usage:     "rosevalve events > docs/EVENTS.md",
		ShortHelp: "describe the events of the log",
		Exec: func(context.Context, []string) error {
			return eventlog.WriteReference(stdout)
		},
	}}
}
