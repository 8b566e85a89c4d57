package edge

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"rosevalve/internal/fleet/eventlog"
)

const (
	// cpuPerRequest and bytesPerRequest are the approximate processor and link cost of one request.
	cpuPerRequest   = 2500 * time.Microsecond
	bytesPerRequest = 25_000
	// busyThreshold is the processor or link utilization above which a router becomes busy.
	// It stays busy until both are at or below busyClearThreshold.
	busyThreshold      = 0.7
	busyClearThreshold = 0.35
	// maxQueueingDelay is how long what a router sends may wait for its own link and processor before it refuses a part of
	// the requests, and minAcceptedShare the fraction that it accepts at least, which shows when the delay is over.
	maxQueueingDelay = 100 * time.Millisecond
	minAcceptedShare = 0.1
	// loadInterval is the time between two load measurements.
	loadInterval = 500 * time.Millisecond

	bitsPerByte = 8
	mega        = 1e6
)

// capacity returns the estimated number of requests per second that the VM can serve.
func (e *Edge) capacity() int {
	cfg := e.Settings.Edge
	byCores := cfg.Cores / cpuPerRequest.Seconds()
	byLink := cfg.LinkMbps * mega / bitsPerByte / bytesPerRequest
	return int(math.Ceil(min(byCores, byLink)))
}

// loadMeter measures processor and link utilization and determines whether this router is overloaded.
type loadMeter struct {
	cores     float64 // processor cores of the VM
	linkBytes float64 // link capacity, in bytes per second
	// bytes is the total number of bytes that went over the VM's link.
	bytes atomic.Int64
	busy  atomic.Bool // set while the router is overloaded

	// The last measurement; only the caller of measure may use these fields.
	measuredAt time.Time
	cpuTime    time.Duration
	linkTotal  int64
}

// utilization is the used share of the VM's processor and link, from 0 to 1.
type utilization struct {
	cpu, link float64
}

// measure returns the utilization since the last measurement, and whether the router has
// become busy or has stopped being busy. The first call only sets the baseline.
func (l *loadMeter) measure(now time.Time) (used utilization, changed bool, err error) {
	cpuTime, err := processCPUTime()
	if err != nil {
		return utilization{}, false, err
	}
	linkTotal := l.bytes.Load()
	elapsed := now.Sub(l.measuredAt).Seconds()
	first := l.measuredAt.IsZero()
	used = utilization{
		cpu:  (cpuTime - l.cpuTime).Seconds() / elapsed / l.cores,
		link: float64(linkTotal-l.linkTotal) / elapsed / l.linkBytes,
	}
	l.measuredAt, l.cpuTime, l.linkTotal = now, cpuTime, linkTotal
	if first {
		return utilization{}, false, nil
	}
	wasBusy := l.busy.Load()
	highest := max(used.cpu, used.link)
	l.busy.Store(highest > busyThreshold || wasBusy && highest > busyClearThreshold)
	return used, l.busy.Load() != wasBusy, nil
}

// refusesForOverload decides whether a new request is refused: a busy router accepts the fewer the longer what it sends
// is delayed. Every request takes the link twice, and would hold up those that have been accepted.
func (e *Edge) refusesForOverload() bool {
	return e.load.busy.Load() && rand.Float64() >= acceptedShare(e.placement.QueueingDelay())
}

// overloaded reports whether this router refuses a part of the requests.
func (e *Edge) overloaded() bool {
	return e.load.busy.Load() && acceptedShare(e.placement.QueueingDelay()) < 1
}

// updateWithdrawal decides whether this router stops or begins to be ready because of its load. Only maintain may call it.
func (e *Edge) updateWithdrawal(now time.Time) {
	was := e.withdrawn.Load()
	is := e.withdrawal.Update(now, e.overloaded(), e.innerAddr(), e.view.Members())
	e.withdrawn.Store(is)
	switch {
	case is && !was:
		e.Events.Emit(eventlog.RouterWithdrawn, "queueing_ms", e.placement.QueueingDelay().Milliseconds())
	case was && !is:
		e.Events.Emit(eventlog.RouterReturned)
	}
}

// acceptedShare returns the fraction of the requests that a busy router accepts at a queueing delay.
func acceptedShare(delay time.Duration) float64 {
	if delay <= maxQueueingDelay {
		return 1
	}
	return max(minAcceptedShare, float64(maxQueueingDelay)/float64(delay))
}

// processCPUTime returns the processor time that this process has used, user and system.
func processCPUTime() (time.Duration, error) {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0, fmt.Errorf("read processor time of the process: %w", err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
