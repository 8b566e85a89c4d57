// Package ingress is the HTTP server for routed requests: it accepts callers'
// connections, detects when a caller disconnects, passes requests to the forwarder and
// writes answers as they arrive. The edge process runs it.
package ingress
