// Package pool owns the targets that this router may use, their outstanding
// requests and the bounded workers that call them. The catalogue feeds it; the
// dispatcher picks from it.
package pool
