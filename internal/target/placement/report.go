package placement

import (
	"context"
	"time"

	"rosevalve/internal/target/upstream"
)

const (
	// reportFreshAge is the age up to which a request with RequireReport set uses a report
	// without requesting a new one.
	reportFreshAge = 150 * time.Millisecond
	// reportMaxAge is the age at which the weight of a report reaches 0.
	reportMaxAge = 2 * time.Second
	// reportTimeout bounds the wait for a report, in addition to the round-trip time.
	reportTimeout = 60 * time.Millisecond
	// maxReportRequests is the maximum number of instances asked for a report for one
	// routed request.
	maxReportRequests = 3
)

// Report is the load that an engine reports, of requests from all routers. It may be out of
// date.
type Report struct {
	// Waiting is the number of requests without an answer yet, and Running the number of
	// those being answered.
	Waiting, Running int
}

// chooseByReport chooses an instance that remains the best choice after it has reported its
// load, or the best choice after maxReportRequests reports. It returns the instance with the
// connection from its report request, which is nil if it was not asked or did not answer. The
// report also shows that the instance is alive before a request is sent that may run only
// once.
func (p *Placement) chooseByReport(ctx context.Context, s *service, r Requirements) (*instance, *upstream.Conn) {
	var conn *upstream.Conn
	var asked *instance
	for range maxReportRequests {
		now := time.Now()
		i := p.choose(s, r, now)
		if i == asked || i == nil {
			return i, conn
		}
		if conn != nil {
			conn.Release()
		}
		conn, asked = p.requestReport(ctx, i), i
		if ctx.Err() != nil {
			return i, conn
		}
	}
	i := p.choose(s, r, time.Now())
	if i != asked && conn != nil {
		conn.Release()
		conn = nil
	}
	return i, conn
}

// requestReport requests the report of an instance unless the last one is fresh. It returns a
// connection to the instance, or nil if the instance did not answer.
func (p *Placement) requestReport(ctx context.Context, i *instance) *upstream.Conn {
	conn, err := i.pool.Acquire(ctx, false)
	if err != nil {
		i.recordReportFailure(true)
		if ctx.Err() == nil {
			i.warmup.Presume(i.Service, i.ID, time.Now())
		}
		return nil
	}
	if i.hasFreshReport(time.Now()) {
		return conn
	}
	r, err := p.FetchReport(ctx, conn, time.Now().Add(reportTimeout+i.rtt.value()))
	if err != nil {
		if ctx.Err() == nil {
			i.recordReportFailure(false)
			if upstream.BrokenOff(err) {
				i.warmup.Presume(i.Service, i.ID, time.Now())
			}
		}
		return nil
	}
	i.storeReport(r, time.Now())
	return conn
}

// hasFreshReport reports whether the last report is younger than reportFreshAge.
func (i *instance) hasFreshReport(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return now.Sub(i.lastReportAt) < reportFreshAge
}

// storeReport stores a report that arrived at the time now.
func (i *instance) storeReport(r Report, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lastReport, i.lastReportAt = r, now
}

// recordReportFailure counts a report request without an answer as a hard failure. If the
// instance was unreachable, its cache is presumed lost.
func (i *instance) recordReportFailure(unreachable bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	defer i.notifyHealth(i.breaker.State(), now)
	i.breaker.Failed(now, true)
	i.updateFailureRate(1, now)
	if unreachable {
		clear(i.cached)
	}
}

// load returns the number of running requests and the prompt tokens still to be prefilled.
// Each is the larger of this router's own count and the last report weighted by its age;
// prefillPerRequest is the number of tokens assumed for each waiting request of the report.
// The caller holds mu.
func (i *instance) load(now time.Time, prefillPerRequest float64) (running float64, pendingPrefill float64) {
	weight := i.reportWeight(now)
	running = max(float64(i.running), weight*float64(i.lastReport.Running))
	pendingPrefill = max(float64(i.pendingPrefill), weight*prefillPerRequest*float64(i.lastReport.Waiting))
	return running, pendingPrefill
}

// occupied returns the number of requests running or waiting, by the same rule as load. The
// caller holds mu.
func (i *instance) occupied(now time.Time) float64 {
	return max(float64(i.running), i.reportWeight(now)*float64(i.lastReport.Running+i.lastReport.Waiting))
}

// reportWeight returns the weight of the last report, which falls linearly with its age from
// 1 to 0. The caller holds mu.
func (i *instance) reportWeight(now time.Time) float64 {
	return max(0, 1-float64(now.Sub(i.lastReportAt))/float64(reportMaxAge))
}
