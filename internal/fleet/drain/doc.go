// Package drain runs the steps of a router's graceful stop in order: announce that the
// router is leaving, keep serving until callers' copies of its address have expired,
// refuse new requests, wait for requests in flight, and return held resources such as
// tokens.
package drain
