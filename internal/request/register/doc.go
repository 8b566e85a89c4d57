// Package register finds the run of an idempotency key, so that a retried request
// reads the answer of the first one instead of running again. Registry holds the
// runs of this router; Directory finds runs at other routers through a directory that
// is distributed among all routers by rendezvous hashing. The gateway looks up the
// key before it does anything else for a request. Both are sharded, with a mutex
// for each shard.
package register
