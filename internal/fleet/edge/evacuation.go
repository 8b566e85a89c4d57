package edge

import (
	"time"

	"rosevalve/internal/fleet/evacuation"
	"rosevalve/internal/fleet/eventlog"
	"rosevalve/internal/platform/follow"
	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
	"rosevalve/platform"
)

// maxLoggedKey bounds the part of an operator's key that is logged, in bytes.
const maxLoggedKey = 100

// connectEvacuations adds the gauges of the evacuations in force.
func (e *Edge) connectEvacuations() {
	e.metrics.addGauge("rosevalve_evacuated_domains", func() float64 { return float64(len(e.evacuations.List())) })
	e.metrics.addGauge("rosevalve_evacuation_version", func() float64 { return float64(e.evacuations.Latest().Version) })
}

// applyEvacuations puts the evacuations among changed rows of the operator in force. A row that can't be decoded changes
// nothing.
func (e *Edge) applyEvacuations(rows []table.Row, from follow.Source) {
	var changes []evacuation.Change
	for _, r := range rows {
		if !platform.IsEvacuation(r) {
			continue
		}
		c, err := platform.DecodeEvacuation(r)
		if err != nil {
			e.metrics.count("rosevalve_evacuations_unreadable_total", 1)
			e.Events.Emit(eventlog.EvacuationUnreadable, "key", r.Key[:min(maxLoggedKey, len(r.Key))], "row_version", r.Version, "err", err)
			continue
		}
		c.Era, c.AfterRollback = from.Era, from.RolledBack
		changes = append(changes, c)
	}
	if len(changes) > 0 {
		e.recordEvacuations(e.evacuations.Apply(changes, time.Now()), from.FromPeer)
	}
}

// recordEvacuations logs changes of the evacuations in force.
func (e *Edge) recordEvacuations(transitions []evacuation.Transition, fromPeers bool) {
	for _, t := range transitions {
		pairs := []any{"failure_domain", t.Domain, "row_version", t.Version}
		switch t.Kind {
		case evacuation.Began:
			e.Events.Emit(eventlog.EvacuationBegan, append(pairs, "instances", e.placement.CountIn(t.Domain), "from_peers", fromPeers)...)
		case evacuation.Ended:
			// Its targets may have been restarted meanwhile.
			e.placement.PresumeCold(t.Domain)
			e.Events.Emit(eventlog.EvacuationEnded, append(pairs, "instances", e.placement.CountIn(t.Domain))...)
		default:
			e.Events.Emit(eventlog.EvacuationChanged, append(pairs, "change", t.Kind, "from_peers", fromPeers)...)
		}
	}
}

// notePeerEvacuation requests the operator's rows from the router at addr if it has one about an evacuation that has not
// arrived here, as when the store refuses this router.
func (e *Edge) notePeerEvacuation(addr string, p inner.TablePosition) {
	e.configTable.HintPosition(addr, p.Era, p.Version)
}
