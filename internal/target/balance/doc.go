// Package balance selects the target of a request: Subset returns the targets that a
// router uses for a model, and Chooser selects one of them for each request. The
// package holds no state and no connections; the pool package calls it.
package balance
