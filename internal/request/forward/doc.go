// Package forward takes a routed request from its arrival to its final answer: it
// finds the route, reserves tokens, sends attempts to instances, decides about retries
// and relays the answer. Front ends pass requests to it. It alone decides which status
// and run state a failed request is answered with.
package forward
