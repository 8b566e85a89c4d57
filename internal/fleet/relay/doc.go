// Package relay performs operations on the platform's table through another router
// when this router cannot reach the table. It wraps the commit, get and scan functions
// of the table's client and returns the same errors: an operation that the table refuses is
// not retried, and neither is a commit whose outcome is unknown.
package relay
