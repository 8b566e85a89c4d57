package edge

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// requestTime and requestBytes are about what one request costs a router.
	requestTime  = 2500 * time.Microsecond
	requestBytes = 25_000
	// busyShare is the used part of the processor or the link from which on a router is
	// busy, and calmShare the part below which it no longer is.
	busyShare = 0.7
	calmShare = 0.35
	// loadInterval is the least time between two measurements.
	loadInterval = 500 * time.Millisecond

	bitsPerByte = 8
	mega        = 1e6
)

// capacity returns about how many requests the VM can carry in a second.
func (e *Edge) capacity() int {
	cfg := e.Settings.Edge
	byCores := cfg.Cores / requestTime.Seconds()
	byLink := cfg.LinkMbps * mega / bitsPerByte / requestBytes
	return int(math.Ceil(min(byCores, byLink)))
}

// loadMeter tells whether this router has more than it can carry.
type loadMeter struct {
	cores     float64
	linkBytes float64 // a second
	// bytes counts what went over the link.
	bytes atomic.Int64

	mu        sync.Mutex // guards the fields below
	at        time.Time
	processor time.Duration
	moved     int64
	busy      bool
}

// overloaded measures now and then, and returns the newest finding.
func (l *loadMeter) overloaded(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	passed := now.Sub(l.at)
	if passed < loadInterval {
		return l.busy
	}
	processor, moved := processorTime(), l.bytes.Load()
	if !l.at.IsZero() {
		used := max(
			(processor-l.processor).Seconds()/passed.Seconds()/l.cores,
			float64(moved-l.moved)/passed.Seconds()/l.linkBytes,
		)
		l.busy = used > busyShare || l.busy && used > calmShare
	}
	l.at, l.processor, l.moved = now, processor, moved
	return l.busy
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
