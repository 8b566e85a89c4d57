package edge

import (
	"time"

	"rosevalve/internal/fleet/eventlog"
	"rosevalve/internal/target/warmup"
)

// newWarmup returns the limiter of requests to cold targets, with its metrics.
func (e *Edge) newWarmup() *warmup.Limiter {
	l := &warmup.Limiter{
		Self:    e.innerAddr(),
		Routers: e.routerAddrs,
		Seeds:   func() []string { return e.settings().Fleet.Seeds },
		Rate:    e.coldRate,
		Bounds: func() warmup.Bounds {
			return warmup.Bounds{Overshoot: e.settings().Edge.ColdOvershoot, Slack: e.settings().Edge.ColdSlack}
		},
		OnChange: e.recordWarmth,
	}
	for name, value := range map[string]func(c warmup.Counts) float64{
		"rosevalve_cold_targets":                func(c warmup.Counts) float64 { return float64(c.Cold) },
		"rosevalve_cold_targets_owned":          func(c warmup.Counts) float64 { return float64(c.Owned) },
		"rosevalve_cold_share_per_second":       func(c warmup.Counts) float64 { return c.PerSecond },
		"rosevalve_cold_requests_total":         func(c warmup.Counts) float64 { return float64(c.Sent) },
		"rosevalve_cold_diverted_choices_total": func(c warmup.Counts) float64 { return float64(c.Diverted) },
	} {
		e.metrics.addGauge(name, func() float64 { return value(l.Counts(time.Now())) })
	}
	return l
}

// routerAddrs returns the inner addresses of the routers in the view.
func (e *Edge) routerAddrs() []string {
	members := e.view.Members()
	out := make([]string, len(members))
	for n, m := range members {
		out[n] = m.InnerAddr
	}
	return out
}

// coldRate returns what a cold target of a service bears by the configuration in force.
func (e *Edge) coldRate(service string) warmup.Rate {
	p := e.plan.Load()
	if p == nil {
		return warmup.Rate{}
	}
	s, ok := p.Service(service)
	if !ok {
		return warmup.Rate{}
	}
	return warmup.Rate{PerSecond: s.ColdRate, ColdTime: s.ColdTime}
}

// recordWarmth logs that a target has become cold or warm.
func (e *Edge) recordWarmth(c warmup.Change) {
	if !c.Cold {
		e.Events.Emit(eventlog.TargetWarm, "instance", c.Instance, "service", c.Service, "sent", c.Sent)
		return
	}
	reason := "told"
	if c.Presumed {
		reason = "presumed"
	}
	e.Events.Emit(eventlog.TargetCold, "instance", c.Instance, "service", c.Service, "reason", reason,
		"cold_ms", time.Until(c.Until).Milliseconds(), "owner", c.Owner)
}
