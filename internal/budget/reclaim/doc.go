// Package reclaim closes the holdings of routers that are suspected to be dead.
// It seals the book of the holding's witness, closes the holding on that
// evidence, and resolves the requests that were left open at their targets. What
// no witness can tell of stays in doubt until an operator releases it. The router
// process runs one sweep at a time; a wrong suspicion costs the holder a draw.
package reclaim
