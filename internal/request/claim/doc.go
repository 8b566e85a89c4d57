// Package claim owns the rows that let a non-idempotent call run at most once: a
// claim is inserted on condition that it is absent before the call is sent, and
// the outcome is stored in it afterwards. The gateway calls it for routes that
// are not idempotent.
package claim
