// Package stream owns the log of one run's events, which is written once and
// read by every caller that asks for the run: the first, and those that repeat
// its key. The dispatcher appends; the gateway reads.
package stream
