package edge

import (
	"math"
	"runtime/debug"
)

const (
	// gcPercent is how much the heap may grow between two garbage collections, in percent.
	// A router has a small live heap and a high allocation rate, so less frequent collections
	// cost little memory.
	gcPercent = 400
	// softLimitShare is the share of the VM's memory used as the soft memory limit of the
	// runtime, above which collections run as often as needed. The rest is for buffers of the
	// operating system.
	softLimitShare = 0.6

	// bodyMemoryShare is the share of the VM's memory for answers that are buffered as a whole,
	// at most maxBodyMemory bytes.
	bodyMemoryShare = 1.0 / 32
	maxBodyMemory   = 8 << 20

	// peerMemoryShare is the share of the VM's memory for messages of other routers that arrive, at most maxPeerMemory bytes.
	peerMemoryShare = 1.0 / 8
	maxPeerMemory   = 32 << 20

	megabyte = 1 << 20
)

// requestMemory returns the total memory for requests that arrive or are served, in bytes.
func (e *Edge) requestMemory() int64 {
	return int64(e.Settings.Edge.CallerMemoryShare * e.Settings.Edge.MemoryMB * megabyte)
}

// peerMemory returns the total memory for messages of other routers that arrive, in bytes.
func (e *Edge) peerMemory() int64 {
	return min(maxPeerMemory, int64(peerMemoryShare*e.Settings.Edge.MemoryMB*megabyte))
}

// bodyMemory returns the total memory for answers that are buffered as a whole, in bytes.
func (e *Edge) bodyMemory() int64 {
	return min(maxBodyMemory, int64(bodyMemoryShare*e.Settings.Edge.MemoryMB*megabyte))
}

// tuneGC makes garbage collections less frequent, which trades memory for processor time.
// The returned function restores the previous settings.
func (e *Edge) tuneGC() (restore func()) {
	percent := debug.SetGCPercent(gcPercent)
	limit := debug.SetMemoryLimit(int64(math.Round(softLimitShare * e.Settings.Edge.MemoryMB * megabyte)))
	return func() {
		debug.SetGCPercent(percent)
		debug.SetMemoryLimit(limit)
	}
}
