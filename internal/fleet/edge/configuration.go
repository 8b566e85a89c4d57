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
	e.configTable = e.follow(platform.TableOperator, e.applyOperatorRows)
	e.configTable.Newer = platform.IsNewerConfig
	e.metrics.addGauge("rosevalve_plan_version", func() float64 { return float64(e.planVersion()) })
	e.metrics.addGauge("rosevalve_plan_announced_version", func() float64 { return float64(e.announced.highestVersion()) })
}

// planVersion returns the version of the configuration in force, or 0 before the first one.
func (e *Edge) planVersion() uint64 {
	if p := e.plan.Load(); p != nil {
		return p.Version()
	}
	return 0
}

// notePeerConfigVersion requests a fetch of the configuration from the router at addr if the
// version there is newer than the one in force.
func (e *Edge) notePeerConfigVersion(addr string, version uint64) {
	inForce := e.planVersion()
	if version <= inForce {
		return
	}
	if e.announced.report(version, time.Now()) {
		e.Events.Emit(eventlog.PlanAnnounced, "plan_version", version, "in_force", inForce, "peer", addr)
	}
	e.configTable.HintPeer(addr, func() bool { return version > e.planVersion() })
}

// applyOperatorRows puts changed rows of the operator in force. The evacuations go first, since a router serves requests
// once it has a configuration.
func (e *Edge) applyOperatorRows(rows []table.Row, from follow.Source) {
	e.applyEvacuations(rows, from)
	e.applyConfig(rows, from)
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
			e.announced.forget()
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
			"decode_ms", (from.Transfer.Decoding() + time.Since(began)).Milliseconds(), "announced_ms", e.announced.reach(cfg.Version, time.Now()).Milliseconds())
	}
}

// outdated reports whether this router knows that its configuration should not be in force any longer.
func (e *Edge) outdated() bool { return e.announced.overdue(e.planVersion(), time.Now()) }

// logOutdated logs when this router begins to refuse requests since its configuration is outdated. Only maintain may
// call it.
func (e *Edge) logOutdated() {
	was := e.wasOutdated
	e.wasOutdated = e.outdated()
	if e.wasOutdated && !was {
		e.Events.Emit(eventlog.PlanOutdated, "plan_version", e.announced.highestVersion(), "in_force", e.planVersion())
	}
}
