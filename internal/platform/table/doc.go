// Package table defines the rows, conditions and commits of the platform's transactional
// store, and a client of its table service. A commit is applied, conflicts, is refused, or
// has an unknown outcome. The ledger, the catalogue and the claims of non-idempotent calls
// use it.
package table
