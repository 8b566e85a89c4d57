// Package pool owns the targets that this router may use: which of them get new
// work, how many requests each is given, and the bounded workers that call them.
// The catalogue and the platform's VM list feed it; the queue takes places from
// it; the dispatcher runs attempts on them.
package pool
