// Package callers is the connection side of a server for callers: it accepts their connections,
// detects when a caller disconnects, and stops without losing what callers have sent. The front
// ends for routed requests and for the chat API share it.
package callers
