package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

const (
	maxLatency       = int64(10 * time.Minute / time.Microsecond)
	latencyPrecision = 3 // significant digits
)

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// ClassReport is what one class of requests saw.
type ClassReport struct {
	Requests  int64     `json:"requests"`
	Answered  int64     `json:"answered"`
	FirstByte Quantiles `json:"first_token"`
	Between   Quantiles `json:"between_tokens"`
}

// Report is the outcome of one load.
type Report struct {
	Requests      int64                   `json:"requests"`
	Answered      int64                   `json:"answered"`
	Tries         int64                   `json:"tries"`
	Wrong         int64                   `json:"wrong_answers"`
	Cut           int64                   `json:"cut_answers"`
	Unreachable   int64                   `json:"unreachable"`
	Refusals      map[string]int64        `json:"refusals"`
	FalseRefusals int64                   `json:"false_refusals"`
	TokensPerS    float64                 `json:"tokens_per_s"`
	Classes       map[string]*ClassReport `json:"classes"`
	Workspaces    map[string]*ClassReport `json:"workspaces"`
	Audit         *Audit                  `json:"audit,omitempty"`
}

// series is what one class or workspace saw so far.
type series struct {
	requests int64
	answered int64
	first    *hdrhistogram.Histogram
	between  *hdrhistogram.Histogram
}

// outcome is the end of one request, kept for the audit.
type outcome struct {
	request   request
	answered  bool
	run       string
	requestID string
}

// measures collects the ends of requests.
type measures struct {
	mu         sync.Mutex // guards the fields below
	sum        Report
	tokens     int64
	elapsed    time.Duration
	classes    map[string]*series
	workspaces map[string]*series
	outcomes   []outcome
}

func newMeasures() *measures {
	return &measures{
		sum:        Report{Refusals: make(map[string]int64)},
		classes:    make(map[string]*series),
		workspaces: make(map[string]*series),
	}
}

// add notes the end of a request; room tells whether the all-knowing ledger had tokens for it.
func (m *measures) add(r request, times answerTimes, tries int, err error, room bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sum.Requests++
	m.sum.Tries += int64(tries)
	m.tokens += times.usage.CompletionTokens
	record(m.classes, r.class(), times, err)
	record(m.workspaces, r.workspace.Name, times, err)
	o := outcome{request: r, answered: err == nil}
	var refused *refusal
	switch {
	case err == nil:
		m.sum.Answered++
	case errors.As(err, &refused):
		m.sum.Refusals[refused.code]++
		o.run, o.requestID = refused.run, refused.requestID
		if room && isBudgetRefusal(refused.code) {
			m.sum.FalseRefusals++
		}
	case errors.Is(err, errWrong):
		m.sum.Wrong++
	case errors.Is(err, errCut):
		m.sum.Cut++
	default:
		m.sum.Unreachable++
	}
	m.outcomes = append(m.outcomes, o)
}

func isBudgetRefusal(code string) bool {
	return code == "budget_exhausted" || code == "budget_unavailable"
}

func record(all map[string]*series, name string, times answerTimes, err error) {
	s, ok := all[name]
	if !ok {
		s = &series{
			first:   hdrhistogram.New(1, maxLatency, latencyPrecision),
			between: hdrhistogram.New(1, maxLatency, latencyPrecision),
		}
		all[name] = s
	}
	s.requests++
	if err != nil {
		return
	}
	s.answered++
	_ = s.first.RecordValue(min(times.first.Microseconds(), maxLatency))
	for _, g := range times.gaps {
		_ = s.between.RecordValue(min(g.Microseconds(), maxLatency))
	}
}

func (m *measures) report() Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.sum
	out.TokensPerS = float64(m.tokens) / m.elapsed.Seconds()
	out.Classes = classReports(m.classes)
	out.Workspaces = classReports(m.workspaces)
	return out
}

func classReports(all map[string]*series) map[string]*ClassReport {
	out := make(map[string]*ClassReport)
	for name, s := range all {
		out[name] = &ClassReport{
			Requests:  s.requests,
			Answered:  s.answered,
			FirstByte: quantiles(s.first),
			Between:   quantiles(s.between),
		}
	}
	return out
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(v int64) float64 { return float64(v) / 1000 }
	return Quantiles{
		Count: h.TotalCount(),
		P50:   ms(h.ValueAtQuantile(50)),
		P95:   ms(h.ValueAtQuantile(95)),
		P99:   ms(h.ValueAtQuantile(99)),
		Max:   ms(h.Max()),
	}
}

// Clean reports whether every answer was right and whole, and the audit found nothing.
func (r Report) Clean() bool {
	if r.Wrong > 0 || r.Cut > 0 {
		return false
	}
	a := r.Audit
	if a == nil {
		return true
	}
	faults := a.Overspend + a.BillsDisagree + a.AnsweredUnbilled + a.RefusedBilled + a.RefusedRan + a.CallsRepeated
	return faults == 0
}
