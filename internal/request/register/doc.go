// Package register owns the runs that this router knows by workspace and
// idempotency key, so that a repeated request reads the first one's answer
// instead of running again. The gateway asks it before anything else is done for
// a request. Runs are kept in shards, each under its own lock.
package register
