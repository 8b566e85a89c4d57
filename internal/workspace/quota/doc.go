// Package quota enforces the limits that the catalogue configures for a workspace:
// requests and tokens per minute, of which each router enforces an equal share, and
// requests in flight on one router.
//
// The limits are approximate and need no coordination between routers. Budgets do not
// depend on them.
package quota
