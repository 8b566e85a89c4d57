// Package capacity contains only the test of docs/CAPACITY.md, which recomputes the page's sums
// from its table of slopes and compares them with the limits of a daemon and of the platform.
package capacity
