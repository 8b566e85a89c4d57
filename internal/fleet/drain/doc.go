// Package drain owns the order in which a router stops gracefully: it announces
// that it leaves, serves on until no caller may use it any more, refuses what is
// new, finishes what is in flight, and gives back what it holds.
package drain
