package edge

import (
	"expvar"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"rosevalve/internal/budget/prepaid"
	"rosevalve/internal/platform/follow"
	"rosevalve/internal/request/forward"
	"rosevalve/internal/request/memory"
	"rosevalve/internal/target/placement"
)

const (
	// maxLabelValues bounds the distinct values of one label; further values count as otherLabel.
	maxLabelValues = 64
	otherLabel     = "other"
)

// latencyBuckets are the bucket bounds of latency histograms, in seconds; they are densest
// in the range of the routes' latency goals.
var latencyBuckets = []float64{
	0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1, 1.5, 2, 3, 5, 8, 15,
}

// metricSet holds the process's counters and histograms.
type metricSet struct {
	set       *metrics.Set
	ejections *metrics.Counter
	pauses    *metrics.Counter
	crashes   *metrics.Counter
	// unreadablePlans counts the configurations that could not be decoded.
	unreadablePlans *metrics.Counter
	labels          labelLimiter
}

// labelLimiter bounds the number of distinct values per label, and so the number of time series.
type labelLimiter struct {
	mu     sync.Mutex                 // guards values
	values map[string]map[string]bool // admitted values, by label
}

// admit returns the value, or otherLabel if the label already has maxLabelValues other values.
func (b *labelLimiter) admit(label, value string) string {
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
		if len(known) >= maxLabelValues {
			return otherLabel
		}
		known[value] = true
	}
	return value
}

func newMetricSet() *metricSet {
	set := metrics.NewSet()
	return &metricSet{
		set:             set,
		ejections:       set.NewCounter("rosevalve_target_ejections_total"),
		pauses:          set.NewCounter("rosevalve_target_pauses_total"),
		crashes:         set.NewCounter("rosevalve_target_crashes_total"),
		unreadablePlans: set.NewCounter("rosevalve_plan_unreadable_total"),
	}
}

// addGauge adds a gauge whose value is that of a function.
func (m *metricSet) addGauge(name string, value func() float64) { m.set.NewGauge(name, value) }

// count adds n to a counter. labels are alternating names and values.
func (m *metricSet) count(name string, n int, labels ...string) {
	m.set.GetOrCreateCounter(name + m.labelText(labels)).Add(n)
}

// observe adds a duration to a histogram. labels are alternating names and values.
func (m *metricSet) observe(name string, d time.Duration, labels ...string) {
	m.set.GetOrCreatePrometheusHistogramExt(name+m.labelText(labels), latencyBuckets).Update(d.Seconds())
}

// labelText returns the labels in the Prometheus text format.
func (m *metricSet) labelText(labels []string) string {
	text := "{"
	for i := 0; i+1 < len(labels); i += 2 {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf("%s=%q", labels[i], m.labels.admit(labels[i], labels[i+1]))
	}
	return text + "}"
}

// recordDecision counts a decision about a request and observes its latencies.
func (m *metricSet) recordDecision(d forward.Decision) {
	if d.Ending != forward.EndingNone {
		m.count("rosevalve_answers_ended_early_total", 1, "route", d.Route, "ending", d.Ending.String())
	}
	switch d.Kind {
	case forward.AttemptSent:
		m.count("rosevalve_attempts_total", 1, "instance", d.Instance)
	case forward.AttemptFailed:
		if errors.Is(d.Err, placement.ErrEvacuated) {
			m.count("rosevalve_evacuation_requests_total", 1, "effect", "moved")
		}
		m.count("rosevalve_attempts_failed_total", 1, "instance", d.Instance, "outcome", d.Outcome.String())
	case forward.Retried:
		m.count("rosevalve_repeats_total", 1, "service", d.Service)
	case forward.RetryDenied:
		m.count("rosevalve_repeats_denied_total", 1, "service", d.Service)
	case forward.Refused:
		if d.Refusal.Code == forward.EvacuatedCode {
			m.count("rosevalve_evacuation_requests_total", 1, "effect", "refused")
		}
		m.count("rosevalve_refusals_total", 1, "code", d.Refusal.Code, "run", d.Run.String())
		m.count("rosevalve_requests_total", 1, "route", d.Route, "outcome", d.Kind.String())
		m.observe("rosevalve_refusal_seconds", d.Elapsed, "code", d.Refusal.Code)
	case forward.Answered:
		m.count("rosevalve_requests_total", 1, "route", d.Route, "outcome", d.Kind.String())
		m.observe("rosevalve_request_seconds", d.Elapsed, "route", d.Route)
		m.observe("rosevalve_first_event_seconds", d.TimeToAnswer, "route", d.Route)
		m.recordUsage(d)
	case forward.AnswerTruncated, forward.Abandoned, forward.CutOff:
		m.count("rosevalve_requests_total", 1, "route", d.Route, "outcome", d.Kind.String())
		m.recordUsage(d)
	}
}

// countClosed counts a connection, or the request on it, that was ended before its time.
func (e *Edge) countClosed(listener, reason string) {
	e.metrics.count("rosevalve_connections_ended_total", 1, "listener", listener, "reason", reason)
}

// addMemoryMetrics adds the gauges of reserved memory and of callers' connections.
func (e *Edge) addMemoryMetrics(requests *memory.Budget) {
	gauge := func(name string, value func() int64) {
		e.metrics.addGauge(name, func() float64 { return float64(value()) })
	}
	gauge(`rosevalve_memory_reserved_bytes{for="requests"}`, requests.Reserved)
	gauge(`rosevalve_memory_reserved_bytes{for="answers"}`, e.forwarder.BodyMemory.Reserved)
	gauge(`rosevalve_memory_reserved_bytes{for="peers"}`, e.transport.Memory.Reserved)
	gauge(`rosevalve_memory_limit_bytes{for="requests"}`, requests.Size)
	gauge(`rosevalve_memory_limit_bytes{for="answers"}`, e.forwarder.BodyMemory.Size)
	gauge(`rosevalve_memory_limit_bytes{for="peers"}`, e.transport.Memory.Size)
	gauge("rosevalve_caller_connections", func() int64 { return int64(e.ingress.Connections()) })
}

// recordUsage counts the tokens that a request has used.
func (m *metricSet) recordUsage(d forward.Decision) {
	if d.Workspace != "" {
		m.count("rosevalve_used_tokens_total", int(d.TokenCount), "workspace", d.Workspace)
	}
}

// recordTokenEvent counts a token event and the tokens that it moved.
func (m *metricSet) recordTokenEvent(ev prepaid.Event) {
	m.count("rosevalve_token_events_total", 1, "event", ev.Kind.String())
	if ev.Workspace != "" && ev.Err == nil {
		m.count("rosevalve_tokens_moved_total", int(ev.Tokens), "event", ev.Kind.String(), "workspace", ev.Workspace)
	}
}

// recordTransfer counts the bytes that a call for rows has brought, by what became of them, and observes how long
// they took.
func (m *metricSet) recordTransfer(name string, r follow.Result) {
	source, outcome := "store", "used"
	if r.FromPeer {
		source = "peer"
	}
	switch {
	case r.Err != nil:
		outcome = "broken_off"
	case r.Changed == 0:
		outcome = "known"
	}
	m.count("rosevalve_table_read_bytes_total", int(r.Transfer.Bytes()), "table", name, "source", source, "outcome", outcome)
	m.observe("rosevalve_table_read_seconds", r.Transfer.Reading(), "table", name, "source", source, "outcome", outcome)
	if r.Err == nil && !r.FromPeer {
		m.observe("rosevalve_table_decode_seconds", r.Transfer.Decoding(), "table", name)
	}
}

// recordCall observes the duration of a call to a dependency and counts errors.
func (m *metricSet) recordCall(dependency string, took time.Duration, err error) {
	m.observe("rosevalve_dependency_seconds", took, "dependency", dependency)
	if err != nil {
		m.count("rosevalve_dependency_errors_total", 1, "dependency", dependency)
	}
}

// write writes all metrics in the Prometheus text format, including the process metrics and
// the integer expvar variables as counters.
func (m *metricSet) write(w io.Writer) {
	m.set.WritePrometheus(w)
	expvar.Do(func(kv expvar.KeyValue) {
		if n, ok := kv.Value.(*expvar.Int); ok {
			metrics.WriteCounterUint64(w, "rosevalve_"+kv.Key+"_total", uint64(n.Value()))
		}
	})
	metrics.WriteProcessMetrics(w)
}
