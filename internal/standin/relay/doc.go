// Package relay holds many streams open at a router and measures what relaying
// them costs the router's process: tokens per second of processor time, and
// memory.
package relay
