// Package table is the client of the platform's transactional table service.
// It owns the row, condition and commit types and the three ways a commit can
// end: applied, conflicted, or with an unknown outcome. The ledger, the
// catalogue and the claims of non-idempotent calls are its callers.
package table
