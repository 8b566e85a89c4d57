// Package claim makes calls that are not idempotent run at most once. Before such a
// call is sent, a claim row is inserted into the table on condition that it is
// absent; afterwards, the outcome of the call is stored in the row. The gateway
// claims the calls of routes that are not idempotent.
package claim
