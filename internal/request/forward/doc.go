// Package forward takes a routed request from its arrival to its final answer: it
// finds the route, reserves tokens, sends attempts to instances, decides what may be
// sent again, and relays the answer. Front ends hand it requests; what it may say of a
// request that has failed is decided here alone.
package forward
