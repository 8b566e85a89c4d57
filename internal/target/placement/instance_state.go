package placement

import (
	"time"

	"rosevalve/internal/target/health"
)

// InstanceState is the state of an instance when it was chosen.
type InstanceState struct {
	// Running is the number of requests running there: the larger of this router's own count
	// and the age-weighted count in the last report.
	Running float64
	// PendingPrefill is the number of prompt tokens still to be prefilled there, by the same rule.
	PendingPrefill float64
	// UncachedTokens is the number of shared prompt tokens of the request that are not known to be
	// cached there.
	UncachedTokens int64
	// FailureRate is the recent failure rate, from 0 to 1.
	FailureRate float64
	// RelativeDelay is how long the instance takes for its work compared with the mean of its service;
	// 1 if speeds are not compared.
	RelativeDelay float64
	// HasReport is set if a load report was recent enough to count; ReportAge is its age.
	HasReport bool
	ReportAge time.Duration
}

// state returns the state of the instance for a request. The caller holds mu.
func (i *instance) state(r Requirements, now time.Time) InstanceState {
	running, pendingPrefill := i.load(now, i.estimator.speed().PrefillTokens)
	age := now.Sub(i.lastReportAt)
	return InstanceState{
		Running:        running,
		PendingPrefill: pendingPrefill,
		UncachedTokens: i.uncachedTokens(r),
		FailureRate:    i.failureRateAt(now),
		RelativeDelay:  i.relativeDelay(),
		HasReport:      age < reportMaxAge,
		ReportAge:      age,
	}
}

// HealthChange describes the ejection or the readmission of an instance.
type HealthChange struct {
	// Instance and Addr are the ID and the address of the instance.
	Instance, Addr string
	// Ejected is set if the instance was ejected. It then receives no requests before Until,
	// when a single one is sent as a probe.
	Ejected bool
	Until   time.Time
	// FailureRate is the recent failure rate, from 0 to 1.
	FailureRate float64
}

// notifyHealth calls onHealth if the breaker has opened or closed since it was in the state
// before. The caller holds mu.
func (i *instance) notifyHealth(before health.BreakerState, now time.Time) {
	state := i.breaker.State()
	if i.onHealth == nil || state == before || state == health.HalfOpen {
		return
	}
	i.onHealth(HealthChange{Instance: i.ID, Addr: i.Addr, Ejected: state == health.Open, Until: i.breaker.ProbeAt(), FailureRate: i.failureRateAt(now)})
}
