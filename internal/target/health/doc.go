// Package health tracks the health of one target by the results of its attempts: an
// adaptive concurrency limit (Limit), a circuit breaker (Breaker) and the detection
// of a target that has stopped sending (Progress). The types are not safe for
// concurrent use; their owner calls them under its own lock for the target.
package health
