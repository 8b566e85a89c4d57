// Package load is a load generator whose callers behave as real ones should:
// they ask the routers which of them to use, arrive in an open loop, keep their
// idempotency key on retries and check every answer. Its report compares what
// callers saw with the bills in the table and the counts of the targets.
package load
