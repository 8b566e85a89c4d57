// Package load is an open-loop load generator. Its callers follow the client
// protocol: they ask the routers which of them to use, keep the idempotency key
// on retries and verify every answer. The report includes an audit that compares
// the observed outcomes with the bills in the table and the run counts of the
// targets.
package load
