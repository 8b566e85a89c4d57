package edge

import (
	"expvar"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rosevalve/internal/budget/prepaid"
	"rosevalve/internal/request/forward"
)

const (
	// maxLabels bounds the values of one label; what comes later counts as other.
	maxLabels  = 64
	otherLabel = "other"
)

// durationBounds are the bounds of latency histograms, in seconds; they are densest
// where the goals of routes lie.
var durationBounds = []float64{
	0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1, 1.5, 2, 3, 5, 8, 15,
}

// meters are the process's counters and histograms.
type meters struct {
	set       *metrics.Set
	ejections *metrics.Counter
	pauses    *metrics.Counter
	labels    labelBound
}

// labelBound bounds the values of labels.
type labelBound struct {
	mu     sync.Mutex // guards values
	values map[string]map[string]bool
}

// of returns the value, or that it is one of too many.
func (b *labelBound) of(label, value string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.values == nil {
		b.values = make(map[string]map[string]bool)
	}
	known := b.values[label]
	if known == nil {
		known = make(map[string]bool)
		b.values[label] = known
	}
	if !known[value] {
		if len(known) >= maxLabels {
			return otherLabel
		}
		known[value] = true
	}
	return value
}

func newMeters() *meters {
	set := metrics.NewSet()
	return &meters{
		set:       set,
		ejections: set.NewCounter("rosevalve_target_ejections_total"),
		pauses:    set.NewCounter("rosevalve_target_pauses_total"),
	}
}

// count adds to a counter with labels, given as names and values.
func (m *meters) count(name string, n int, labels ...string) {
	m.set.GetOrCreateCounter(name + m.labelText(labels)).Add(n)
}

// observe adds a duration to a histogram with labels.
func (m *meters) observe(name string, d time.Duration, labels ...string) {
	m.set.GetOrCreatePrometheusHistogramExt(name+m.labelText(labels), durationBounds).Update(d.Seconds())
}

func (m *meters) labelText(labels []string) string {
	text := "{"
	for i := 0; i+1 < len(labels); i += 2 {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf("%s=%q", labels[i], m.labels.of(labels[i], labels[i+1]))
	}
	return text + "}"
}

// decision counts a decision about a request.
func (m *meters) decision(d forward.Decision) {
	switch d.Event {
	case forward.Sent:
		m.count("rosevalve_attempts_total", 1, "instance", d.Instance)
	case forward.Ended:
		m.count("rosevalve_attempts_failed_total", 1, "instance", d.Instance, "outcome", d.Outcome.String())
	case forward.Repeated:
		m.count("rosevalve_repeats_total", 1, "service", d.Service)
	case forward.NotRepeated:
		m.count("rosevalve_repeats_denied_total", 1, "service", d.Service)
	case forward.Refused:
		m.count("rosevalve_refusals_total", 1, "code", d.Refusal.Code, "run", d.Run.String())
		m.count("rosevalve_requests_total", 1, "route", d.Route, "outcome", d.Event.String())
		m.observe("rosevalve_refusal_seconds", d.Took, "code", d.Refusal.Code)
	case forward.Answered:
		m.count("rosevalve_requests_total", 1, "route", d.Route, "outcome", d.Event.String())
		m.observe("rosevalve_request_seconds", d.Took, "route", d.Route)
		m.observe("rosevalve_first_event_seconds", d.FirstEvent, "route", d.Route)
		m.usage(d)
	case forward.Broken, forward.Abandoned:
		m.count("rosevalve_requests_total", 1, "route", d.Route, "outcome", d.Event.String())
		m.usage(d)
	}
}

func (m *meters) usage(d forward.Decision) {
	if d.Workspace != "" {
		m.count("rosevalve_used_tokens_total", int(d.Tokens), "workspace", d.Workspace)
	}
}

// tokens counts a movement of tokens.
func (m *meters) tokens(ev prepaid.Event) {
	m.count("rosevalve_token_events_total", 1, "event", ev.Kind.String())
	if ev.Workspace != "" && ev.Err == nil {
		m.count("rosevalve_tokens_moved_total", int(ev.Tokens), "event", ev.Kind.String(), "workspace", ev.Workspace)
	}
}

// call counts a call of a dependency and how long it took.
func (m *meters) call(dependency string, took time.Duration, err error) {
	m.observe("rosevalve_dependency_seconds", took, "dependency", dependency)
	if err != nil {
		m.count("rosevalve_dependency_errors_total", 1, "dependency", dependency)
	}
}

// write writes all metrics in the usual text format, with those of the libraries.
func (m *meters) write(w io.Writer) {
	m.set.WritePrometheus(w)
	expvar.Do(func(kv expvar.KeyValue) {
		if n, ok := kv.Value.(*expvar.Int); ok {
			metrics.WriteCounterUint64(w, "rosevalve_"+kv.Key+"_total", uint64(n.Value()))
		}
	})
	metrics.WriteProcessMetrics(w)
}
