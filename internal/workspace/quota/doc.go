// Package quota owns the limits that the catalogue sets for a workspace: requests
// and tokens per minute, of which each router enforces its share, and requests in
// flight on one router. The limits are a hint that needs no agreement between
// routers; budgets don't depend on them.
package quota
