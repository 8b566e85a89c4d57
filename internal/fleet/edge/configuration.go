package edge

import (
	"time"

	"rosevalve/internal/fleet/eventlog"
	"rosevalve/internal/platform/follow"
	"rosevalve/internal/platform/table"
	"rosevalve/internal/workspace/plan"
	"rosevalve/platform"
)

func (e *Edge) connectConfig() {
	e.configTable = e.follow(platform.TableOperator, e.applyConfig)
	e.configTable.Newer = platform.IsNewerConfig
	e.metrics.addGauge("rosevalve_plan_version", func() float64 { return float64(e.planVersion()) })
	e.metrics.addGauge("rosevalve_plan_announced_version", func() float64 { return float64(e.announcedVersion()) })
}

// planVersion returns the version of the configuration in force, or 0 before the first one.
func (e *Edge) planVersion() uint64 {
	if p := e.plan.Load(); p != nil {
		return p.Version()
	}
	return 0
}

// announcement is the first report of a configuration that is newer than the one in force.
type announcement struct {
	version uint64
	at      time.Time
}

// notePeerConfigVersion requests a fetch of the configuration from the router at addr if the
// version there is newer than the one in force.
func (e *Edge) notePeerConfigVersion(addr string, version uint64) {
	inForce := e.planVersion()
	if version <= inForce {
		return
	}
	if e.noteAnnouncement(version) {
		e.Events.Emit(eventlog.PlanAnnounced, "plan_version", version, "in_force", inForce, "peer", addr)
	}
	e.configTable.HintPeer(addr, func() bool { return version > e.planVersion() })
}

// noteAnnouncement records that another router has a configuration with the version, and reports whether
// that is higher than all before.
func (e *Edge) noteAnnouncement(version uint64) bool {
	a := &announcement{version: version, at: time.Now()}
	for {
		last := e.announced.Load()
		if last != nil && last.version >= version {
			return false
		}
		if e.announced.CompareAndSwap(last, a) {
			return true
		}
	}
}

// announcedVersion returns the highest version that another router has reported, or 0 if none was newer than
// the one in force.
func (e *Edge) announcedVersion() uint64 {
	if a := e.announced.Load(); a != nil {
		return a.version
	}
	return 0
}

// sinceAnnouncement returns the time since another router first reported the version, or 0 if none did.
func (e *Edge) sinceAnnouncement(version uint64) time.Duration {
	a := e.announced.Load()
	if a == nil || a.version != version {
		return 0
	}
	return time.Since(a.at)
}

// applyConfig puts a configuration in force if it is newer than the current one.
func (e *Edge) applyConfig(rows []table.Row, from follow.Source) {
	for _, r := range rows {
		if !platform.IsConfig(r) || r.Deleted {
			continue
		}
		began := time.Now()
		cfg, err := platform.DecodeConfig(r)
		if err != nil {
			e.metrics.unreadablePlans.Inc()
			e.Events.Emit(eventlog.PlanUnreadable, "row_version", r.Version, "err", err)
			continue
		}
		if old := e.plan.Load(); old != nil && old.Version() >= cfg.Version {
			continue
		}
		e.plan.Store(plan.New(cfg))
		e.Events.Emit(eventlog.PlanInForce, "plan_version", cfg.Version, "row_version", r.Version,
			"routes", len(cfg.Routes), "workspaces", len(cfg.Workspaces), "from_peers", from.FromPeer, "bytes", from.Transfer.Bytes(),
			"wait_ms", from.Transfer.Wait().Milliseconds(), "read_ms", from.Transfer.Reading().Milliseconds(),
			"decode_ms", (from.Transfer.Decoding() + time.Since(began)).Milliseconds(), "announced_ms", e.sinceAnnouncement(cfg.Version).Milliseconds())
	}
}
