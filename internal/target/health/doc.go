// Package health judges one target by what its attempts show: how many requests
// it can take at a time, whether it fails and whether it has gone silent. The
// pool keeps one set of these for each target and holds the target's lock while
// it calls them.
package health
