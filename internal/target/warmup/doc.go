// Package warmup limits the requests to targets that have just started and are cold, without
// messages between the routers. A few routers own the share of each cold target: those that
// rank highest for its ID among all routers that this one remembers. Each owner sends at most
// one request per pace, and the other routers send nothing while the target is cold.
//
// The package does no I/O. Placement asks Limiter.Withheld for each candidate and
// Limiter.Take at the moment of sending.
package warmup
