package edge

import (
	"math"
	"runtime/debug"
)

const (
	// heapGrowth is how much the heap may grow between two collections, in percent: a
	// router keeps little and allocates much, so that rarer collections cost little memory.
	heapGrowth = 400
	// memoryShare is the part of the VM's memory from which on collections come as often as
	// the heap needs. The rest is for buffers of the operating system.
	memoryShare = 0.6

	// bodiesShare is the part of the VM's memory for answers that are held as a whole, and
	// mostBodies bounds it in bytes.
	bodiesShare = 1.0 / 32
	mostBodies  = 8 << 20

	megabyte = 1 << 20
)

// bodyMemory is what answers that are held as a whole may take together, in bytes.
func (e *Edge) bodyMemory() int64 {
	return min(mostBodies, int64(bodiesShare*e.Settings.Edge.MemoryMB*megabyte))
}

// collectRarely trades memory that the VM has for processor time. It returns what sets
// the process back.
func (e *Edge) collectRarely() (restore func()) {
	percent := debug.SetGCPercent(heapGrowth)
	limit := debug.SetMemoryLimit(int64(math.Round(memoryShare * e.Settings.Edge.MemoryMB * megabyte)))
	return func() {
		debug.SetGCPercent(percent)
		debug.SetMemoryLimit(limit)
	}
}
