// Package ingress is the HTTP side of routed requests: it accepts callers'
// connections, notices when a caller leaves, hands requests to the forwarder and
// writes answers as they come. The edge process serves it.
package ingress
