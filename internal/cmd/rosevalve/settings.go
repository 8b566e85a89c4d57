package rosevalve

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v4"

	"rosevalve/internal/fleet/settings"
)

// settingsCommand describes the settings of a router.
func settingsCommand(stdout io.Writer) subcommand {
	return subcommand{command: &ff.Command{
		Name:      "settings",
		Usage:     "rosevalve settings > docs/CONFIGURATION.md",
		ShortHelp: "describe the settings of a router",
		Exec: func(context.Context, []string) error {
			return settings.WriteReference(stdout)
		},
	}}
}
