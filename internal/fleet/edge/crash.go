package edge

import (
	"context"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"rosevalve/internal/fleet/eventlog"
	"rosevalve/internal/protocol/socket"
	"rosevalve/internal/request/quarantine"
	"rosevalve/internal/target/crash"
)

// maxLoggedParts bounds the parts in one line of the log.
const maxLoggedParts = 16

// refusesConnections reports whether the host at addr is reachable and no process listens there.
func (e *Edge) refusesConnections(ctx context.Context, addr string) bool {
	dialer := socket.Dialer{Timeout: targetDialTimeout}
	conn, err := dialer.Dial(ctx, addr)
	if err != nil {
		return errors.Is(err, unix.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

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
