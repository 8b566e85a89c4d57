// Package ingress is the HTTP server for routed requests: it parses what callers send, passes
// requests to the forwarder and writes answers as they arrive. The edge process runs it.
package ingress
