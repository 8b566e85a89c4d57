package placement

import (
	"time"

	"rosevalve/internal/target/health"
)

// Reason is what was known of an instance when it was chosen.
type Reason struct {
	// Running is the number of requests there, by this router's count or by the last report.
	Running float64
	// Reading is the prompt tokens of requests there that have not begun to answer.
	Reading float64
	// Missing is the shared prompt tokens of the request that the instance is not known to hold.
	Missing int64
	// Failing is the share of failures of late.
	Failing float64
	// Reported is set if a report counts, whose age is ReportAge.
	Reported  bool
	ReportAge time.Duration
}

// reason describes the instance for a request. The caller holds mu.
func (i *instance) reason(d Demand, now time.Time) Reason {
	running, reading := i.load(now, i.learner.pace().Unread)
	age := now.Sub(i.toldAt)
	return Reason{
		Running:   running,
		Reading:   reading,
		Missing:   i.missing(d),
		Failing:   i.failingAt(now),
		Reported:  age < reportFade,
		ReportAge: age,
	}
}

// Health tells that an instance was ejected or readmitted.
type Health struct {
	// Instance and Addr name it.
	Instance, Addr string
	// Ejected is set if it gets no requests until Until, when one is tried.
	Ejected bool
	Until   time.Time
	// Failing is the share of failures of late.
	Failing float64
}

// tellHealth tells of a change since the breaker was in a state. The caller holds mu.
func (i *instance) tellHealth(before health.BreakerState, now time.Time) {
	state := i.breaker.State()
	if i.onHealth == nil || state == before || state == health.HalfOpen {
		return
	}
	i.onHealth(Health{Instance: i.ID, Addr: i.Addr, Ejected: state == health.Open, Until: i.breaker.Until(), Failing: i.failingAt(now)})
}
