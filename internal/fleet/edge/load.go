package edge

import (
	"fmt"
	"math"
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
	// loadInterval is the time between two measurements.
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
	busy  atomic.Bool

	// What follows belongs to the caller of measure.
	at        time.Time
	processor time.Duration
	moved     int64
}

// loadShare is the used part of what the VM has.
type loadShare struct {
	processor, link float64
}

// measure compares with the last measurement. It reports whether the router has become
// busy or calm.
func (l *loadMeter) measure(now time.Time) (used loadShare, changed bool, err error) {
	processor, err := processorTime()
	if err != nil {
		return loadShare{}, false, err
	}
	moved := l.bytes.Load()
	passed := now.Sub(l.at).Seconds()
	first := l.at.IsZero()
	used = loadShare{
		processor: (processor - l.processor).Seconds() / passed / l.cores,
		link:      float64(moved-l.moved) / passed / l.linkBytes,
	}
	l.at, l.processor, l.moved = now, processor, moved
	if first {
		return loadShare{}, false, nil
	}
	was := l.busy.Load()
	most := max(used.processor, used.link)
	l.busy.Store(most > busyShare || was && most > calmShare)
	return used, l.busy.Load() != was, nil
}

// processorTime returns the processor time that this process has used.
func processorTime() (time.Duration, error) {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0, fmt.Errorf("read the used processor time: %w", err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
