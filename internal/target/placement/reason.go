package placement

import (
	"time"

	"rosevalve/internal/target/health"
)

// Reason is the state of an instance when it was chosen.
type Reason struct {
	// Running is the number of requests running there: the larger of this router's own count
	// and the age-weighted count in the last report.
	Running float64
	// Reading is the number of prompt tokens still to be prefilled there, by the same rule.
	Reading float64
	// Missing is the number of shared prompt tokens of the request that are not known to be
	// cached there.
	Missing int64
	// Failing is the recent failure rate, from 0 to 1.
	Failing float64
	// Reported is set if a load report was recent enough to count; ReportAge is its age.
	Reported  bool
	ReportAge time.Duration
}

// reason returns the state of the instance for a request. The caller holds mu.
func (i *instance) reason(d Demand, now time.Time) Reason {
	running, pendingPrefill := i.load(now, i.estimator.pace().Unread)
	age := now.Sub(i.lastReportAt)
	return Reason{
		Running:   running,
		Reading:   pendingPrefill,
		Missing:   i.uncachedTokens(d),
		Failing:   i.failureRateAt(now),
		Reported:  age < reportLifetime,
		ReportAge: age,
	}
}

// Health describes the ejection or the readmission of an instance.
type Health struct {
	// Instance and Addr are the ID and the address of the instance.
	Instance, Addr string
	// Ejected is set if the instance was ejected. It then receives no requests before Until,
	// when a single one is sent as a probe.
	Ejected bool
	Until   time.Time
	// Failing is the recent failure rate, from 0 to 1.
	Failing float64
}

// notifyHealth calls onHealth if the breaker has opened or closed since it was in the state
// before. The caller holds mu.
func (i *instance) notifyHealth(before health.BreakerState, now time.Time) {
	state := i.breaker.State()
	if i.onHealth == nil || state == before || state == health.HalfOpen {
		return
	}
	i.onHealth(Health{Instance: i.ID, Addr: i.Addr, Ejected: state == health.Open, Until: i.breaker.Until(), Failing: i.failureRateAt(now)})
}
