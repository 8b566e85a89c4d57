package edge

import (
	"fmt"
	"strconv"
	"time"

	"rosevalve/internal/budget/prepaid"
	"rosevalve/internal/fleet/entry"
	"rosevalve/internal/fleet/eventlog"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/request/forward"
	"rosevalve/internal/target/placement"
)

// tokenEvents maps token events to log events.
var tokenEvents = map[prepaid.EventKind]eventlog.Event{
	prepaid.JournalOpened:       eventlog.JournalOpened,
	prepaid.JournalFailed:       eventlog.JournalFailed,
	prepaid.JournalRecovered:    eventlog.JournalRecovered,
	prepaid.JournalReplaced:     eventlog.JournalReplaced,
	prepaid.MirrorLost:          eventlog.MirrorLost,
	prepaid.MirrorRecovered:     eventlog.MirrorRecovered,
	prepaid.MirrorUnresponsive:  eventlog.MirrorUnresponsive,
	prepaid.Drawn:               eventlog.TokensDrawn,
	prepaid.DrawFailed:          eventlog.DrawFailed,
	prepaid.StoreEmpty:          eventlog.StoreEmpty,
	prepaid.FormerHoldingClosed: eventlog.FormerHoldingClosed,
	prepaid.TransferSent:        eventlog.TransferSent,
	prepaid.TransferReceived:    eventlog.TransferReceived,
	prepaid.HoldingReturned:     eventlog.HoldingReturned,
	prepaid.HoldingTransferred:  eventlog.HoldingTransferred,
	prepaid.StoreRolledBack:     eventlog.StoreRolledBack,
	prepaid.EraRestored:         eventlog.StoreEraRestored,
	prepaid.EraSettled:          eventlog.StoreEraSettled,
	prepaid.EraUnsettled:        eventlog.StoreEraUnsettled,
	prepaid.RestoreFailed:       eventlog.RestoreFailed,
	prepaid.JournalReclaimed:    eventlog.JournalReclaimed,
	prepaid.HoldingReclaimed:    eventlog.HoldingReclaimed,
	prepaid.ReclaimFailed:       eventlog.ReclaimFailed,
	prepaid.ReplicaFailed:       eventlog.DeferralFailed,
	prepaid.FinalUsageLost:      eventlog.FinalUsageLost,
	prepaid.TransferRefused:     eventlog.TransferRefused,
}

// recordTokenEvent counts and logs a token event, and passes a new era of the store on to the
// followed tables.
func (e *Edge) recordTokenEvent(ev prepaid.Event) {
	e.metrics.recordTokenEvent(ev)
	if ev.Kind == prepaid.StoreRolledBack {
		e.configTable.ObserveEra(ev.To.Era)
		e.targetTable.ObserveEra(ev.To.Era)
		e.blockTable.ObserveEra(ev.To.Era)
	}
	var pairs []any
	if ev.Workspace != "" {
		pairs = append(pairs, "workspace", ev.Workspace, "tokens", ev.Tokens)
	}
	switch ev.Kind {
	case prepaid.Drawn, prepaid.DrawFailed, prepaid.StoreEmpty:
		pairs = append(pairs, "left_tokens", ev.Remaining, "prepaid_tokens", e.prepaidTotal(ev.Workspace))
	case prepaid.StoreRolledBack:
		pairs = append(pairs, "era", ev.To.Era, "version", ev.To.Version, "last_era", ev.From.Era, "last_version", ev.From.Version)
	case prepaid.EraRestored:
		pairs = append(pairs, "era", ev.To.Era, "workspaces", ev.Workspaces, "corrected_tokens", ev.Tokens, "awaited", ev.Routers)
	case prepaid.EraSettled:
		pairs = append(pairs, "era", ev.To.Era, "took_ms", ev.Duration.Milliseconds(), "routers", ev.Routers)
	case prepaid.EraUnsettled:
		pairs = append(pairs, "era", ev.To.Era, "for_ms", ev.Duration.Milliseconds(), "routers", ev.Routers)
	case prepaid.RestoreFailed:
		pairs = append(pairs, "era", ev.To.Era)
	case prepaid.JournalRecovered:
		pairs = append(pairs, "away_ms", ev.Duration.Milliseconds())
	}
	if ev.Err != nil {
		pairs = append(pairs, "err", ev.Err)
	}
	e.Events.Emit(tokenEvents[ev.Kind], pairs...)
}

// requestEvents maps decisions about requests to log events.
var requestEvents = map[forward.DecisionKind]eventlog.Event{
	forward.Refused:         eventlog.RequestRefused,
	forward.AttemptSent:     eventlog.AttemptSent,
	forward.AttemptFailed:   eventlog.AttemptEnded,
	forward.Retried:         eventlog.RequestRetried,
	forward.RetryDenied:     eventlog.RetryDenied,
	forward.TokensDenied:    eventlog.TokensDenied,
	forward.Answered:        eventlog.RequestAnswered,
	forward.Abandoned:       eventlog.RequestAbandoned,
	forward.AnswerTruncated: eventlog.AnswerBroken,
	forward.CutOff:          eventlog.RequestCutOff,
}

// recordDecision counts and logs a decision about a request.
func (e *Edge) recordDecision(d forward.Decision) {
	e.metrics.recordDecision(d)
	pairs := []any{
		"request_id", d.Request.ID, "route", d.Route, "service", d.Service, "workspace", d.Workspace,
		"plan_version", d.PlanVersion, "attempt", d.Attempt, "took_ms", d.Elapsed.Milliseconds(),
	}
	switch d.Kind {
	case forward.AttemptSent:
		pairs = append(pairs, "instance", d.Instance, "addr", d.Addr, "reserved_tokens", d.TokenCount)
		pairs = append(pairs, instanceStatePairs(d.Reason)...)
		pairs = append(pairs, "store_age_ms", e.storeAge().Milliseconds())
	case forward.AttemptFailed:
		pairs = append(pairs, "instance", d.Instance, "addr", d.Addr, "outcome", d.Outcome, "run", d.Run, "status", d.Status, "events", d.RelayedEvents)
	case forward.Answered:
		pairs = append(pairs, "run", d.Run, "status", d.Status, "events", d.RelayedEvents, "first_event_ms", d.TimeToAnswer.Milliseconds(), "used_tokens", d.TokenCount)
	case forward.CutOff:
		pairs = append(pairs, "conn_requests", d.Request.ConnRequests, "after_stop_ms", e.afterStop(d.Request.Arrived).Milliseconds())
		pairs = append(pairs, "run", d.Run, "status", d.Status, "events", d.RelayedEvents, "used_tokens", d.TokenCount)
	case forward.AnswerTruncated, forward.Abandoned:
		pairs = append(pairs, "run", d.Run, "status", d.Status, "events", d.RelayedEvents, "used_tokens", d.TokenCount)
	case forward.Retried:
		pairs = append(pairs, "run", d.Run, "events", d.RelayedEvents)
	case forward.RetryDenied:
		pairs = append(pairs, "run", d.Run)
	case forward.TokensDenied:
		pairs = append(pairs, "wanted_tokens", d.TokenCount, "store_age_ms", e.storeAge().Milliseconds())
	case forward.Refused:
		pairs = append(pairs, "run", d.Run, "status", d.Status, "code", d.Refusal.Code, "retry_after_ms", d.Refusal.RetryAfter.Milliseconds(), "err", d.Refusal.Message)
	}
	if d.Ending != forward.EndingNone {
		pairs = append(pairs, "ending", d.Ending)
	}
	if d.Err != nil {
		pairs = append(pairs, "err", d.Err)
	}
	e.Events.Emit(requestEvents[d.Kind], pairs...)
}

// instanceStatePairs returns the log fields for the inputs by which an instance was chosen, including
// the age of its load report if one was used.
func instanceStatePairs(r placement.InstanceState) []any {
	pairs := []any{
		"running", int64(r.Running), "reading_tokens", int64(r.PendingPrefill), "missing_tokens", r.UncachedTokens,
		"failing_percent", int64(percent * r.FailureRate), "relative_delay_percent", int64(percent * r.RelativeDelay),
	}
	if r.HasReport {
		pairs = append(pairs, "report_age_ms", r.ReportAge.Milliseconds())
	}
	return pairs
}

// percent converts a share from 0 to 1 to percent.
const percent = 100

// storeAge returns the time since the store last confirmed the configuration.
func (e *Edge) storeAge() time.Duration { return e.configTable.Age() }

// recordInvalidRequest counts and logs a request that could not be parsed.
func (e *Edge) recordInvalidRequest(status int, err error) {
	e.metrics.count("rosevalve_unreadable_requests_total", 1, "status", strconv.Itoa(status))
	e.Events.Emit(eventlog.RequestUnreadable, "status", status, "err", err)
}

// libraryLog adapts the event log to the logger interface of a library; each message becomes one event.
type libraryLog struct {
	log   *eventlog.Log
	event eventlog.Event
}

// Printf logs a message of the library.
func (l libraryLog) Printf(format string, args ...any) {
	l.log.Emit(l.event, "err", fmt.Sprintf(format, args...))
}

// recordHealth counts and logs the ejection of an instance, or logs its readmission.
func (e *Edge) recordHealth(h placement.HealthChange) {
	if h.Ejected {
		e.metrics.ejections.Inc()
		e.Events.Emit(eventlog.TargetEjected, "instance", h.Instance, "addr", h.Addr,
			"failing_percent", int64(percent*h.FailureRate), "until_ms", time.Until(h.Until).Milliseconds())
		return
	}
	e.Events.Emit(eventlog.TargetReadmitted, "instance", h.Instance, "addr", h.Addr)
}

// recordNotice logs that an instance has announced that it is leaving or pausing, and counts pauses.
func (e *Edge) recordNotice(n placement.Notice) {
	if n.Leaving {
		e.Events.Emit(eventlog.TargetLeaving, "instance", n.Instance, "addr", n.Addr, "running", n.Running)
	}
	if !n.Until.IsZero() {
		e.metrics.pauses.Inc()
		e.Events.Emit(eventlog.TargetPaused, "instance", n.Instance, "addr", n.Addr, "running", n.Running,
			"pause_ms", time.Until(n.Until).Milliseconds())
	}
}

// recordEngineSpeed logs that the measured speed of a service's engines has changed.
func (e *Edge) recordEngineSpeed(service string, p placement.EngineSpeed) {
	e.Events.Emit(eventlog.EngineSpeedChanged, "service", service, "tokens_per_ms", int64(p.PrefillRate), "base_ms", p.BaseLatency.Milliseconds(),
		"step_us", p.TokenInterval.Microseconds(), "stay_ms", p.AttemptTime.Milliseconds(), "samples", p.Samples)
}

// memberLogger logs changes of the membership view.
type memberLogger struct {
	known map[string]inner.Member // other routers at the last update, by inner address
	view  []inner.Member          // the view passed to the last update
}

// update logs how members differ from those of the last call. self is this router's inner address.
func (l *memberLogger) update(self string, members []inner.Member, emit func(ev eventlog.Event, pairs ...any)) {
	if entry.SameSlice(members, l.view) {
		return
	}
	l.view = members
	seen := make(map[string]inner.Member, len(members))
	for _, m := range members {
		if m.InnerAddr == self {
			continue
		}
		seen[m.InnerAddr] = m
		old, ok := l.known[m.InnerAddr]
		if ok && old.State == m.State && old.ID == m.ID {
			continue
		}
		switch m.State {
		case inner.Suspect:
			emit(eventlog.PeerSuspected, "peer", m.InnerAddr, "id", m.ID)
		case inner.Leaving:
			emit(eventlog.PeerLeaving, "peer", m.InnerAddr, "id", m.ID)
		default:
			emit(eventlog.PeerFound, "peer", m.InnerAddr, "id", m.ID, "failure_domain", m.FailureDomain)
		}
	}
	for addr, m := range l.known {
		if _, ok := seen[addr]; !ok {
			emit(eventlog.PeerLost, "peer", addr, "id", m.ID)
		}
	}
	l.known = seen
}
