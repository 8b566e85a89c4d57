package edge

import (
	"context"
	"net"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/budget/prepaid"
	"rosevalve/internal/protocol/socket"
	"rosevalve/internal/request/forward"
)

// logDecision writes one line for a decision about a request.
func (e *Edge) logDecision(d forward.Decision) {
	fields := []any{
		"request_id", d.Request.ID, "route", d.Route, "service", d.Service, "workspace", d.Workspace,
		"plan_version", d.PlanVersion, "attempt", d.Attempt, "took_ms", d.Took.Milliseconds(),
	}
	if d.Instance != "" {
		fields = append(fields, "instance", d.Instance, "addr", d.Addr)
	}
	switch d.Event {
	case forward.Ended:
		fields = append(fields, "outcome", d.Outcome, "run", d.Run, "status", d.Status, "events", d.Events)
	case forward.Answered, forward.Broken, forward.Abandoned:
		fields = append(fields, "run", d.Run, "status", d.Status, "events", d.Events, "first_event_ms", d.FirstEvent.Milliseconds())
	case forward.Refused:
		fields = append(fields, "run", d.Run, "status", d.Refusal.Status, "code", d.Refusal.Code, "retry_after_ms", d.Refusal.RetryAfter.Milliseconds())
	}
	if d.Tokens > 0 {
		fields = append(fields, "tokens", d.Tokens)
	}
	if d.Err != nil {
		fields = append(fields, "err", d.Err)
	}
	e.Log.Info(d.Event.String(), fields...)
}

// logTokens writes one line for a change of what this life believes about tokens.
func (e *Edge) logTokens(ev prepaid.Event) {
	fields := []any{"workspace", ev.Workspace, "tokens", ev.Tokens, "left", ev.Left}
	if ev.Err != nil {
		fields = append(fields, "err", ev.Err)
	}
	e.Log.Info(ev.Kind.String(), fields...)
}

// dialWith lets the HTTP library dial with a dialer.
func dialWith(d socket.Dialer) fasthttp.DialFunc {
	return func(addr string) (net.Conn, error) { return d.Dial(context.Background(), addr) }
}
