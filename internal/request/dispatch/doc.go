// Package dispatch runs admitted requests at targets: it acquires a target, retries
// attempts that provably did not run, resumes streams that break off, and reports the
// tokens that each run used. The gateway calls it for the first request with an
// idempotency key.
package dispatch
