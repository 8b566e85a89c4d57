// Package relay is a benchmark of stream relaying. It holds many streams open at a
// router and measures the tokens relayed per second of CPU time and the resident
// memory of the router's process.
package relay
