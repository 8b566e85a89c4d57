// Package stream provides the append-only log of the events of one run's answer.
// Each event is appended once and read by every caller of the run: the first one
// and those that retry with its idempotency key. The dispatcher appends and the gateway
// reads.
package stream
