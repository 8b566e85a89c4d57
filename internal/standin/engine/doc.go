// Package engine is a stand-in for a model engine. It batches continuously,
// schedules urgent runs first, streams deterministic tokens at a configurable
// rate, and can cancel and resume runs. It counts every run and token so that
// tests can compare bills with them, and injects faults on request.
package engine
