package edge

import (
	"slices"
	"strings"

	"rosevalve/internal/fleet/eventlog"
	"rosevalve/internal/request/quarantine"
	"rosevalve/internal/target/crash"
)

// maxLoggedParts bounds the parts in one line of the log.
const maxLoggedParts = 16

// recordCrash logs and counts the crash of a target.
func (e *Edge) recordCrash(c crash.Crash) {
	e.quarantine.ObserveCrash(c)
	e.metrics.crashes.Inc()
	var parts []string
	for _, prompt := range c.Prompts {
		for _, part := range prompt {
			parts = append(parts, quarantine.PartName(part.ID))
		}
	}
	slices.Sort(parts)
	parts = slices.Compact(parts)
	e.Events.Emit(eventlog.TargetCrashed, "instance", c.Instance, "addr", c.Addr, "service", c.Service,
		"lost_attempts", c.LostAttempts, "parts", strings.Join(parts[:min(len(parts), maxLoggedParts)], " "))
}
