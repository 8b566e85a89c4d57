// Package timeout estimates the timeout of a call from the latencies of earlier calls. A
// short timeout lets a router retry soon after a lost answer; one that is too short gives
// up on a service that is only slow.
package timeout
