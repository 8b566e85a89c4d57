// Package capacity holds the check of docs/CAPACITY.md: its sums are recomputed
// from the page's table of slopes and compared with the bounds of a daemon and of
// the platform.
package capacity
