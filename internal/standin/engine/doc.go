// Package engine is a small stand-in for a model engine: it batches
// continuously, honours priorities, streams deterministic tokens at a settable
// rate, and can cancel and resume runs. It counts every run and token as the
// evidence that tests compare bills with.
package engine
