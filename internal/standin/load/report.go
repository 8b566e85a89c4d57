package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

const (
	maxLatency       = int64(10 * time.Minute / time.Microsecond) // in microseconds
	latencyPrecision = 3                                          // significant digits
)

// Quantiles summarizes a latency distribution, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// ClassReport summarizes the requests of one class or workspace.
type ClassReport struct {
	Requests int64 `json:"requests"`
	Answered int64 `json:"answered"`
	// FirstByte is the time from the arrival of a request to its first token.
	FirstByte Quantiles `json:"first_token"`
	// Between is the time between consecutive tokens of an answer.
	Between Quantiles `json:"between_tokens"`
}

// Report is the result of one load test. Answered, Wrong, Cut, Unreachable and
// the counts in Refusals add up to Requests.
type Report struct {
	Requests int64 `json:"requests"`
	Answered int64 `json:"answered"`
	// Tries is the number of attempts of all requests.
	Tries int64 `json:"tries"`
	// Wrong is the number of answers with unexpected tokens.
	Wrong int64 `json:"wrong_answers"`
	// Cut is the number of streams that ended before their final event.
	Cut int64 `json:"cut_answers"`
	// Unreachable is the number of requests that failed in any other way, such as a timeout.
	Unreachable int64 `json:"unreachable"`
	// Refusals is the number of refused requests by error code.
	Refusals map[string]int64 `json:"refusals"`
	// FalseRefusals is the number of budget refusals although the budget covered the request.
	FalseRefusals int64 `json:"false_refusals"`
	// TokensPerS is the rate of completion tokens over the whole load test.
	TokensPerS float64 `json:"tokens_per_s"`
	// Classes are the reports by request class.
	Classes map[string]*ClassReport `json:"classes"`
	// Workspaces are the reports by workspace name.
	Workspaces map[string]*ClassReport `json:"workspaces"`
	// Audit is nil if the load test had no platform.
	Audit *Audit `json:"audit,omitempty"`
}

// groupStats accumulates the outcomes of one class or workspace.
type groupStats struct {
	requests   int64
	answered   int64
	firstToken *hdrhistogram.Histogram // in microseconds
	tokenGap   *hdrhistogram.Histogram // in microseconds
}

// outcome is the final result of one request, kept for the audit.
type outcome struct {
	request   request
	answered  bool
	runState  string // of a refusal: "not_run", "ran" or "unknown"
	requestID string // of a refusal
}

// recorder accumulates the outcomes of requests for the report and the audit.
type recorder struct {
	mu         sync.Mutex // guards the fields below
	totals     Report     // only the counts over all requests are set
	tokens     int64      // completion tokens of all requests
	elapsed    time.Duration
	classes    map[string]*groupStats
	workspaces map[string]*groupStats
	outcomes   []outcome
}

func newRecorder() *recorder {
	return &recorder{
		totals:     Report{Refusals: make(map[string]int64)},
		classes:    make(map[string]*groupStats),
		workspaces: make(map[string]*groupStats),
	}
}

// add records the outcome of a request; covered is whether its budget had enough
// tokens for its worst case when the request ended.
func (rec *recorder) add(r request, stats answerStats, attempts int, err error, covered bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.totals.Requests++
	rec.totals.Tries += int64(attempts)
	rec.tokens += stats.usage.CompletionTokens
	recordGroup(rec.classes, r.class(), stats, err)
	recordGroup(rec.workspaces, r.workspace.Name, stats, err)
	o := outcome{request: r, answered: err == nil}
	var refused *refusal
	switch {
	case err == nil:
		rec.totals.Answered++
	case errors.As(err, &refused):
		rec.totals.Refusals[refused.code]++
		o.runState, o.requestID = refused.runState, refused.requestID
		if covered && isBudgetRefusal(refused.code) {
			rec.totals.FalseRefusals++
		}
	case errors.Is(err, errWrongAnswer):
		rec.totals.Wrong++
	case errors.Is(err, errTruncated):
		rec.totals.Cut++
	default:
		rec.totals.Unreachable++
	}
	rec.outcomes = append(rec.outcomes, o)
}

func isBudgetRefusal(code string) bool {
	return code == "budget_exhausted" || code == "budget_unavailable"
}

// recordGroup adds the outcome of a request to the named group.
func recordGroup(groups map[string]*groupStats, name string, stats answerStats, err error) {
	s, ok := groups[name]
	if !ok {
		s = &groupStats{
			firstToken: hdrhistogram.New(1, maxLatency, latencyPrecision),
			tokenGap:   hdrhistogram.New(1, maxLatency, latencyPrecision),
		}
		groups[name] = s
	}
	s.requests++
	if err != nil {
		return
	}
	s.answered++
	_ = s.firstToken.RecordValue(min(stats.firstToken.Microseconds(), maxLatency))
	for _, gap := range stats.tokenGaps {
		_ = s.tokenGap.RecordValue(min(gap.Microseconds(), maxLatency))
	}
}

// report returns the report without the audit.
func (rec *recorder) report() Report {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	out := rec.totals
	out.TokensPerS = float64(rec.tokens) / rec.elapsed.Seconds()
	out.Classes = groupReports(rec.classes)
	out.Workspaces = groupReports(rec.workspaces)
	return out
}

func groupReports(groups map[string]*groupStats) map[string]*ClassReport {
	out := make(map[string]*ClassReport)
	for name, s := range groups {
		out[name] = &ClassReport{
			Requests:  s.requests,
			Answered:  s.answered,
			FirstByte: quantiles(s.firstToken),
			Between:   quantiles(s.tokenGap),
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

// Clean reports whether no answer was wrong or truncated and the audit, if any,
// found no violation.
func (r Report) Clean() bool {
	if r.Wrong > 0 || r.Cut > 0 {
		return false
	}
	a := r.Audit
	if a == nil {
		return true
	}
	violations := a.Overspend + a.BillsDisagree + a.AnsweredUnbilled + a.RefusedBilled + a.RefusedRan + a.CallsRepeated
	return violations == 0
}
